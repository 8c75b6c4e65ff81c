"""A loopback TCP proxy that injects faults into the connections through it."""

__all__ = ["FaultyProxy", "ProxyFaults"]

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from typing import cast

Address = tuple[str, int]
# SO_LINGER on with a timeout of 0 s: closing the socket sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass
class ProxyFaults:
    """Faults of the connections through a proxy.

    Args:
        delay_s: Delay of each piece of data, in seconds.
        silent: Whether data is dropped in both directions, without closing.
        one_way: Whether data from the server is dropped.
        refuse: Whether new connections are reset on arrival.
    """

    delay_s: float = 0.0
    silent: bool = False
    one_way: bool = False
    refuse: bool = False


class _Endpoint(asyncio.Protocol):
    def __init__(self, proxy: "FaultyProxy", from_client: bool):
        self._proxy = proxy
        self._from_client = from_client
        self._buffered: list[bytes] = []
        self.other: _Endpoint | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._proxy.endpoints.add(self)
        if self._from_client:
            asyncio.get_running_loop().create_task(self._proxy.connect_client(self))

    def data_received(self, data: bytes) -> None:
        faults = self._proxy.faults
        if faults.silent or (faults.one_way and not self._from_client):
            return
        if faults.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(faults.delay_s, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self.other is None:
            self._buffered.append(data)
        elif self.other.transport is not None:
            self.other.transport.write(data)

    def connect_to(self, other: "_Endpoint") -> None:
        self.other = other
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self._forward(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._proxy.endpoints.discard(self)
        other = self.other
        if other is None or other.transport is None or self._proxy.faults.silent:
            return
        if exc is not None:
            other.reset()
        else:
            other.transport.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()


@dataclass
class FaultyProxy:
    """Forwards connections to a server.

    Args:
        server: Address of the server.
        faults: Active faults.
        endpoints: Open connections to clients and to the server.
    """

    server: Address
    faults: ProxyFaults = field(default_factory=ProxyFaults)
    endpoints: set[_Endpoint] = field(default_factory=set)
    _listener: asyncio.Server | None = None

    async def start(self, host: str) -> Address:
        """Listen on a free port of a host; return the address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Endpoint(self, True), host, 0
        )
        return cast(Address, self._listener.sockets[0].getsockname()[:2])

    async def connect_client(self, client: _Endpoint) -> None:
        """Open a connection to the server for a client; reset the client on failure."""
        if self.faults.refuse:
            client.reset()
            return
        loop = asyncio.get_running_loop()
        try:
            _, server = await loop.create_connection(
                lambda: _Endpoint(self, False), *self.server
            )
        except OSError:
            client.reset()
            return
        server.connect_to(client)
        client.connect_to(server)

    def reset_all(self) -> None:
        """Reset every connection."""
        for endpoint in list(self.endpoints):
            endpoint.reset()

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._listener is not None:
            self._listener.close()
        self.reset_all()
