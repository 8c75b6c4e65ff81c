"""Callers: routers, and the local target when it calls deeper services."""
