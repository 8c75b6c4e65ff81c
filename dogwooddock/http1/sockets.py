"""TCP socket options for low latency and for detecting an unresponsive peer."""

__all__ = ["tune_socket"]

import asyncio
import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_S = 4.0


def tune_socket(
    transport: asyncio.BaseTransport, unacknowledged_s: float = UNACKNOWLEDGED_S
) -> None:
    """Disable Nagle's algorithm and enable TCP keep-alive with short timeouts.

    Args:
        transport: Transport of the socket.
        unacknowledged_s: Time after which the connection ends if the peer takes none
            of what was sent, in seconds; also where it only does not read.
    """
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
        (tcp, socket.TCP_USER_TIMEOUT, int(unacknowledged_s * 1000)),
    ):
        sock.setsockopt(level, option, value)
