"""Requests from callers: routers, and the local target calling other services."""
