"""HTTP/1.1 on an event loop, with parsing apart from I/O."""
