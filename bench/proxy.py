"""A loopback proxy that spoils the connections that pass through it."""

__all__ = ["FaultyProxy", "ProxyFaults"]

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from typing import cast

Address = tuple[str, int]
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass
class ProxyFaults:
    """What the proxy does to bytes.

    Args:
        delay_s: Time by which each piece is held, in seconds.
        silent: Whether nothing passes, in either direction.
        one_way: Whether nothing passes back from the server.
        refuse: Whether new connections are reset at once.
    """

    delay_s: float = 0.0
    silent: bool = False
    one_way: bool = False
    refuse: bool = False


class _Side(asyncio.Protocol):
    def __init__(self, proxy: "FaultyProxy", towards_server: bool):
        self._proxy = proxy
        self._towards_server = towards_server
        self._early: list[bytes] = []
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._proxy.sides.add(self)
        if self._towards_server:
            asyncio.get_running_loop().create_task(self._proxy.join(self))

    def data_received(self, data: bytes) -> None:
        faults = self._proxy.faults
        if faults.silent or (faults.one_way and not self._towards_server):
            return
        if faults.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(faults.delay_s, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        if self.other is None:
            self._early.append(data)
        elif self.other.transport is not None:
            self.other.transport.write(data)

    def joined(self, other: "_Side") -> None:
        self.other = other
        early, self._early = self._early, []
        for data in early:
            self._pass_on(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._proxy.sides.discard(self)
        other = self.other
        if other is None or other.transport is None or self._proxy.faults.silent:
            return
        if exc is not None:
            other.reset()
        else:
            other.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()


@dataclass
class FaultyProxy:
    """Pass connections on to an address.

    Args:
        server: Where they go.
    """

    server: Address
    faults: ProxyFaults = field(default_factory=ProxyFaults)
    sides: set[_Side] = field(default_factory=set)
    _listener: asyncio.Server | None = None

    async def start(self, host: str) -> Address:
        """Listen on a port of the system's choice; return the address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: _Side(self, True), host, 0)
        return cast(Address, self._listener.sockets[0].getsockname()[:2])

    async def join(self, client: _Side) -> None:
        """Connect a client's connection to the server."""
        if self.faults.refuse:
            client.reset()
            return
        loop = asyncio.get_running_loop()
        try:
            _, server = await loop.create_connection(
                lambda: _Side(self, False), *self.server
            )
        except OSError:
            client.reset()
            return
        server.joined(client)
        client.joined(server)

    def reset_all(self) -> None:
        """Reset every connection."""
        for side in list(self.sides):
            side.reset()

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._listener is not None:
            self._listener.close()
        self.reset_all()
