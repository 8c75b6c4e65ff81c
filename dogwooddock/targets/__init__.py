"""The local target: admission, claims and dispatch."""
