"""Listening sockets, reserved together before a node serves on any of them."""

__all__ = [
    "ACCEPTED_AT_ONCE",
    "LISTEN_BACKLOG",
    "RETRY_PERIOD_S",
    "Address",
    "AddressReservation",
    "ListenAddress",
    "ListenSockets",
    "bind_socket",
    "reserve",
]

import errno
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations

import structlog

from .errors import InvalidSettings

Address = tuple[str, int]

RETRY_PERIOD_S = 0.05
REPORT_PERIOD_S = 10.0
LISTEN_BACKLOG = 1024
# Connections that a server accepts before it closes others to make room.
ACCEPTED_AT_ONCE = 64
# With port 0, the system may choose a TCP port whose UDP port is held.
PORT_ATTEMPTS = 50
WILDCARDS = frozenset({"0.0.0.0", "::"})
FREE_RESOURCES = "end what uses up the VM's descriptors or memory, or raise the limit"
# What another process, the VM's network or a limit causes may end by itself.
TRANSIENT_ERRORS = {
    errno.EADDRINUSE: "end the process that holds it, or change the setting",
    errno.EADDRNOTAVAIL: "give the VM this address, or change the setting",
    errno.EMFILE: FREE_RESOURCES,
    errno.ENFILE: FREE_RESOURCES,
    errno.ENOBUFS: FREE_RESOURCES,
    errno.ENOMEM: FREE_RESOURCES,
}

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ListenAddress:
    """An address to listen on.

    Args:
        name: What it is for.
        setting: Name of the setting that it comes from.
        address: IP address and port; port 0 lets the system choose one.
        kind: Whether it is a TCP or a UDP port.
        port_of: Name of an earlier address whose port is taken for port 0.
    """

    name: str
    setting: str
    address: Address
    kind: socket.SocketKind = socket.SOCK_STREAM
    port_of: str = ""

    def __str__(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


def bind_socket(
    address: Address, kind: socket.SocketKind = socket.SOCK_STREAM
) -> socket.socket:
    """Return a socket that is bound to an address and does not listen yet."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, kind)
    try:
        # UDP sockets with this option would share the port.
        if kind == socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except BaseException:
        sock.close()
        raise
    return sock


def _overlap(one: Address, other: Address) -> bool:
    """Report whether no two sockets can listen on both addresses."""
    (host, port), (other_host, other_port) = one, other
    if port != other_port or not port:
        return False
    if host == other_host:
        return True
    same_family = (":" in host) == (":" in other_host)
    return same_family and bool(WILDCARDS & {host, other_host})


class ListenSockets:
    """Listening sockets by the names of their addresses."""

    def __init__(self, sockets: dict[str, socket.socket]):
        self._sockets = sockets

    def __contains__(self, name: str) -> bool:
        return name in self._sockets

    def take(self, name: str) -> socket.socket:
        """Return the socket of an address, which the caller closes from now on."""
        return self._sockets.pop(name)


class AddressReservation:
    """Bind sockets to all addresses, and listen once none is held by another process.

    Until then no connection is accepted on any of them: a caller that finds nobody
    turns to another node at once.

    Args:
        addresses: Addresses to reserve.

    ``unavailable`` is the address that the latest attempt could not reserve.

    Raises:
        InvalidSettings: Two settings name the same address.
    """

    def __init__(self, addresses: Iterable[ListenAddress]):
        self._addresses = tuple(addresses)
        self._sockets: dict[str, socket.socket] = {}
        self._check_distinct()
        self._reported: tuple[str, float] = ("", 0.0)
        self.unavailable: ListenAddress | None = None

    def attempt(self, now: float) -> ListenSockets | None:
        """Try to reserve what is missing; return the sockets once it has all of them.

        Call it again after ``RETRY_PERIOD_S`` while it returns None.

        Args:
            now: Present time, in seconds.

        Raises:
            InvalidSettings: An address can never be listened on.
        """
        for act in (self._bind, self._listen):
            for wanted in self._addresses:
                try:
                    act(wanted)
                except OSError as exc:
                    self._release_chosen_port(wanted)
                    self._on_failure(wanted, exc, now)
                    return None
        sockets, self._sockets = self._sockets, {}
        return ListenSockets(sockets)

    def close(self) -> None:
        """Release what is reserved."""
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()

    def _check_distinct(self) -> None:
        for one, other in combinations(self._addresses, 2):
            # A setting may stand for the TCP and the UDP port of one number.
            if one.setting != other.setting and _overlap(one.address, other.address):
                raise InvalidSettings(
                    f"{other.setting}: {other} is that of {one.setting} ({one}) too; "
                    "change one"
                )

    def _bind(self, wanted: ListenAddress) -> None:
        if wanted.name in self._sockets:
            return
        address = wanted.address
        if wanted.port_of and not address[1]:
            chosen = self._sockets[wanted.port_of].getsockname()[1]
            address = (address[0], chosen)
        self._sockets[wanted.name] = bind_socket(address, wanted.kind)

    def _listen(self, wanted: ListenAddress) -> None:
        if wanted.kind == socket.SOCK_STREAM:
            self._sockets[wanted.name].listen(LISTEN_BACKLOG)

    def _release_chosen_port(self, wanted: ListenAddress) -> None:
        """Let the system choose another port if the chosen one is held for UDP."""
        if wanted.port_of and not wanted.address[1]:
            self._release(wanted.port_of)

    def _on_failure(self, wanted: ListenAddress, exc: OSError, now: float) -> None:
        remedy = TRANSIENT_ERRORS.get(exc.errno or 0)
        if remedy is None:
            self.close()
            raise InvalidSettings(
                f"{wanted.setting}: cannot listen on {wanted} ({exc}); correct it"
            ) from exc
        self.unavailable = wanted
        self._release_listening()
        setting, reported_at = self._reported
        if setting == wanted.setting and now - reported_at < REPORT_PERIOD_S:
            return
        self._reported = (wanted.setting, now)
        log.warning(
            "address_unavailable",
            setting=wanted.setting,
            address=str(wanted),
            error=exc.strerror,
            remedy=remedy,
        )

    def _release_listening(self) -> None:
        """Close sockets that listen already, so that none takes connections alone."""
        for wanted in reversed(self._addresses):
            sock = self._sockets.get(wanted.port_of or wanted.name)
            if sock and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                self._release(wanted.name)

    def _release(self, name: str) -> None:
        sock = self._sockets.pop(name, None)
        if sock is not None:
            sock.close()


def reserve(addresses: Iterable[ListenAddress]) -> ListenSockets:
    """Reserve addresses without waiting for any that another process holds.

    Raises:
        InvalidSettings: An address is held, or can never be listened on.
    """
    reservation = AddressReservation(addresses)
    for _ in range(PORT_ATTEMPTS):
        sockets = reservation.attempt(0.0)
        if sockets is not None:
            return sockets
    reservation.close()
    held = reservation.unavailable
    assert held is not None
    raise InvalidSettings(f"{held.setting}: {held} is held; choose another")
