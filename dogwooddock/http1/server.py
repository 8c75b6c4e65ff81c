"""HTTP/1.1 server for asyncio."""

__all__ = ["ClientState", "Exchange", "HttpServer", "ServerLimits"]

import asyncio
import socket

import structlog

from ..listening import ACCEPTED_AT_ONCE, LISTEN_BACKLOG, Address, bind_socket
from ..policy.heldbytes import HeldBytes
from .connection import Connection
from .exchange import (
    MAX_CONNECTIONS,
    ClientState,
    Exchange,
    Handler,
    ServerLimits,
    ServerState,
)

SWEEP_PERIOD_S = 0.5

log = structlog.get_logger()


class HttpServer(ServerState):
    """Listen on an address and pass complete requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        memory: HeldBytes | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ):
        super().__init__(handler, limits, memory, max_connections)
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes of responses that connections have not taken yet."""
        return sum(conn.unwritten_bytes for conn in self.connections)

    async def start(self, where: Address | socket.socket) -> Address:
        """Start listening on an address or a bound socket; return the address."""
        loop = asyncio.get_running_loop()
        sock = where if isinstance(where, socket.socket) else bind_socket(where)
        self._server = await loop.create_server(
            lambda: Connection(self), sock=sock, backlog=ACCEPTED_AT_ONCE
        )
        sock.listen(LISTEN_BACKLOG)
        self._sweeper = loop.create_task(self._sweep())
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            self._sweep_all(loop.time())

    def _sweep_all(self, now: float) -> None:
        """Apply the timeouts; a connection that fails at this ends alone."""
        for conn in list(self.connections):
            try:
                conn.sweep(now)
            except Exception:
                log.exception("sweep_failed", peer=conn.peer_host)
                conn.abort()

    def close_idle(self) -> None:
        """Close idle connections now, and the others when they become idle."""
        self.draining = True
        self.closing_idle = True
        self._sweep_all(asyncio.get_running_loop().time())

    def stop_listening(self) -> None:
        """Stop accepting connections; those that are open stay open."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Stop listening and applying timeouts; open connections stay open."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
