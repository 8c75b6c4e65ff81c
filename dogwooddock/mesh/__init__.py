"""The node on an event loop: callers, gate, links between nodes, and what they know."""
