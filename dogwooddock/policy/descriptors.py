"""Division of a process's file descriptors among its connections."""

__all__ = ["MIN_DESCRIPTORS", "ConnectionLimits", "divide_descriptors"]

from dataclasses import dataclass

# Files, and sockets that listen.
RESERVED_DESCRIPTORS = 200
MIN_DESCRIPTORS = 400
# The rest is for connections to the target, to other nodes and to the store.
CALLER_SHARE = 0.45
LINK_SHARE = 0.35
PORT_SHARE = 0.02
MAX_PORT_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Most open connections that a node accepts, by what they are for.

    Args:
        callers: Connections of callers.
        links: Links of other nodes.
        port: Connections of heartbeats, of readiness probes, and of operators each.
    """

    callers: int
    links: int
    port: int


def divide_descriptors(max_fds: int) -> ConnectionLimits:
    """Return the limits of a process that may open so many descriptors."""
    sockets = max_fds - RESERVED_DESCRIPTORS
    return ConnectionLimits(
        int(sockets * CALLER_SHARE),
        int(sockets * LINK_SHARE),
        min(int(sockets * PORT_SHARE), MAX_PORT_CONNECTIONS),
    )
