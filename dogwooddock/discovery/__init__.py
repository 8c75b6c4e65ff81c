"""Discovery of peers at startup."""
