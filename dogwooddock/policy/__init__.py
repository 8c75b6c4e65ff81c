"""Decisions of a node, free of I/O, clocks and threads."""
