"""HTTP servers of a node: for callers, probes, target heartbeats and operators."""

__all__ = ["Listeners"]

import asyncio
import json
from collections.abc import Callable

import structlog

from ..errors import DogwooddockError
from ..http1.messages import Request
from ..http1.server import Exchange, HttpServer, ServerLimits
from ..listening import ListenSockets
from ..policy.lifetimes import Heartbeat
from .heartbeats import TargetMonitor
from .ingress import Ingress
from .inspected import InspectedNode
from .metrics import dump_state, render_metrics
from .routing import DesiredState
from .where import UnknownRequest, where_to

ACK_POLL_PERIOD_S = 0.02
ACK_TIMEOUT_S = 0.7
# Probes and operators send no bodies, and heartbeats small ones.
PORT_LIMITS = ServerLimits(max_header_bytes=16 * 1024, max_body_bytes=16 * 1024)

log = structlog.get_logger()


class Listeners:
    """Run the HTTP servers of a node.

    Args:
        ingress: Handles requests from callers and from the local target.
        target_monitor: Handles messages of the local target.
        ready_path: Path of the readiness probe.
        read_heartbeat: Parses a message of the local target: a heartbeat, or the id,
            start time and sequence number of a target that leaves.
        node: Node whose readiness, metrics and state are reported, and whose memory
            the bodies of callers use.
    """

    def __init__(
        self,
        ingress: Ingress,
        target_monitor: TargetMonitor,
        ready_path: bytes,
        read_heartbeat: Callable[[Request], Heartbeat | tuple[str, int, int]],
        node: InspectedNode,
    ):
        self._loop = asyncio.get_running_loop()
        self._target_monitor = target_monitor
        self._ready_path = ready_path
        self._read_heartbeat = read_heartbeat
        self._node = node
        self._check_head = ingress.check_head
        limits = node.connection_limits
        self.caller_server = HttpServer(
            ingress.handle, memory=node.memory, max_connections=limits.callers
        )
        self.caller_server.answers_half_closed = True
        self.caller_server.on_no_memory = ingress.refuse_for_memory
        self.caller_server.body_timeout_s = ingress.upload_timeout_s
        self._ready_server, self._heartbeat_server, self._operator_server = (
            HttpServer(handler, PORT_LIMITS, max_connections=limits.port)
            for handler in (self._on_probe, self._on_heartbeat, self._on_operator)
        )

    async def start(self, sockets: ListenSockets) -> None:
        """Start serving; the caller port opens after heartbeats and probes."""
        await self._heartbeat_server.start(sockets.take("heartbeat"))
        await self._ready_server.start(sockets.take("ready"))
        await self.caller_server.start(sockets.take("caller"))
        if "operator" in sockets:
            await self._operator_server.start(sockets.take("operator"))

    @property
    def servers(self) -> tuple[HttpServer, ...]:
        """Return every HTTP server of the node."""
        return (
            self.caller_server,
            self._ready_server,
            self._heartbeat_server,
            self._operator_server,
        )

    def accepted(self) -> dict[str, int]:
        """Return the connections that were accepted so far, by purpose."""
        return {
            "caller": self.caller_server.accepted,
            "readiness": self._ready_server.accepted,
            "heartbeat": self._heartbeat_server.accepted,
            "operator": self._operator_server.accepted,
        }

    def follow(self, state: DesiredState) -> None:
        """Follow a new version of the configuration.

        Where it has accounts, callers without a valid key are refused before the bodies
        of their requests have arrived.
        """
        self.caller_server.limits = state.limits
        self.caller_server.head_check = self._check_head if state.accounts else None

    def stop(self) -> None:
        """Stop every server."""
        for server in self.servers:
            server.stop()

    def _on_probe(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == self._ready_path:
            exchange.respond(200 if self._node.ready else 503, b"", b"")
        else:
            exchange.respond(404, b"", b"")

    def _on_operator(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == b"/metrics":
            body = render_metrics(self._node)
            exchange.respond(200, b"Content-Type: text/plain\r\n", body)
        elif path == b"/state":
            body = json.dumps(dump_state(self._node), indent=1).encode()
            exchange.respond(200, b"Content-Type: application/json\r\n", body)
        elif path == b"/where":
            self._explain_placement(exchange)
        else:
            exchange.respond(404, b"", b"ask for /metrics, /state or /where\n")

    def _explain_placement(self, exchange: Exchange) -> None:
        query = exchange.request.query()
        host, path = query.get("host", ""), query.get("path", "")
        status = 200
        try:
            answer = where_to(self._node, host, path, query.get("account", ""))
        except UnknownRequest as exc:
            status, answer = 404, {"error": str(exc)}
        body = json.dumps(answer, indent=1).encode()
        exchange.respond(status, b"Content-Type: application/json\r\n", body)

    def _on_heartbeat(self, exchange: Exchange) -> None:
        try:
            message = self._read_heartbeat(exchange.request)
        except DogwooddockError as exc:
            log.warning("heartbeat_refused", error=str(exc))
            exchange.respond(400, b"", b"")
            return
        if isinstance(message, Heartbeat):
            acknowledged = self._target_monitor.on_heartbeat(message)
        else:
            acknowledged = self._target_monitor.on_leave(*message)
        if acknowledged:
            self._acknowledge(exchange)
        elif self._target_monitor.drain_pending:
            self._loop.create_task(self._acknowledge_later(exchange))
        else:
            exchange.respond(503, b"", b"")

    def _acknowledge(self, exchange: Exchange) -> None:
        exchange.respond(200, b"Content-Type: application/json\r\n", b"{}")

    async def _acknowledge_later(self, exchange: Exchange) -> None:
        """Acknowledge a drain once it is in the store, or answer 503 on timeout."""
        deadline = self._loop.time() + ACK_TIMEOUT_S
        while self._loop.time() < deadline:
            await asyncio.sleep(ACK_POLL_PERIOD_S)
            if not self._target_monitor.drain_pending:
                self._acknowledge(exchange)
                return
        exchange.respond(503, b"", b"")
