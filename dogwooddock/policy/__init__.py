"""Decision logic of a node, without I/O, clocks or threads."""
