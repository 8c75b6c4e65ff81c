"""TCP socket options for low latency and for detecting an unresponsive peer."""

__all__ = ["tune_socket"]

import asyncio
import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_MS = 4000


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and enable TCP keep-alive with short timeouts."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    for level, option, value in (
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)
