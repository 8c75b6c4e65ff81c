"""HTTP/1.1 client and server for asyncio; parsing is separate from I/O."""
