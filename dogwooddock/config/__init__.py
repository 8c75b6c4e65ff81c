"""The configuration: its log in the store, and how a node follows it."""
