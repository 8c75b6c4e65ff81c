"""Sockets of the peer port, which has the same number for TCP and UDP."""

__all__ = ["PeerSockets", "open_peer_sockets"]

import errno
import socket
from dataclasses import dataclass

from ..errors import InvalidSettings

LISTEN_BACKLOG = 256
PORT_ATTEMPTS = 50


@dataclass(frozen=True, slots=True)
class PeerSockets:
    """Listening TCP socket and bound UDP socket on the same address."""

    tcp: socket.socket
    udp: socket.socket

    @property
    def address(self) -> tuple[str, int]:
        """Return the IP address and the port."""
        return self.udp.getsockname()[:2]


def open_peer_sockets(address: tuple[str, int]) -> PeerSockets:
    """Open both sockets; port 0 chooses a port that is free for TCP and UDP.

    Raises:
        InvalidSettings: The address cannot be bound.
    """
    host, port = address
    failure: OSError | None = None
    for _ in range(1 if port else PORT_ATTEMPTS):
        try:
            tcp = socket.create_server(address, backlog=LISTEN_BACKLOG)
        except OSError as exc:
            failure = exc
            break
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((host, tcp.getsockname()[1]))
        except OSError as exc:
            failure = exc
            tcp.close()
            udp.close()
            if exc.errno != errno.EADDRINUSE:
                break
            continue
        return PeerSockets(tcp, udp)
    text = f"--peer-listen {host}:{port} cannot be used ({failure}); choose another"
    raise InvalidSettings(text)
