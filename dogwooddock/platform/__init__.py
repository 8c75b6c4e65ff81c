"""Adapter for the platform: header names, formats, settings and the store."""
