"""The stop of a node: it drains callers, finishes what it took and answers the rest."""

__all__ = ["NodeShutdown"]

import asyncio
from collections.abc import Callable

import structlog

from ..http1.server import HttpServer
from ..peers.linkserver import LinkServer
from ..policy.outcomes import Reason
from ..policy.shutdown import Shutdown, UnfinishedWork
from .environment import NodeEnvironment
from .gate import Gate
from .ingress import Ingress

POLL_PERIOD_S = 0.02

log = structlog.get_logger()


class NodeShutdown:
    """Follow the decisions of ``Shutdown`` until the process may exit.

    Args:
        env: Bounds of this node.
        gate: Gate of the local target.
        ingress: Requests of callers.
        caller_server: Connections of callers.
        links: Links of other nodes, which get the replies to their calls.
        announce: Tells peers that the gate takes no more calls.
    """

    def __init__(
        self,
        env: NodeEnvironment,
        gate: Gate,
        ingress: Ingress,
        caller_server: HttpServer,
        links: LinkServer,
        announce: Callable[[], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._env = env
        self._gate = gate
        self._ingress = ingress
        self._caller_server = caller_server
        self._links = links
        self._announce = announce

    async def run(self) -> None:
        """Return once everything is finished, or the grace period ends."""
        bounds = self._env.bounds
        shutdown = Shutdown(self._loop.time(), bounds.drain_s, bounds.grace_s)
        log.info("node_draining", in_flight=self._ingress.in_flight)
        self._ingress.shutdown = shutdown
        while not shutdown.may_exit(self._loop.time(), self._unfinished_work()):
            await asyncio.sleep(POLL_PERIOD_S)
            self._advance(shutdown, self._loop.time())
        work = self._unfinished_work()
        log.info(
            "node_drained", in_flight=work.requests, unwritten=work.unwritten_bytes
        )

    def _advance(self, shutdown: Shutdown, now: float) -> None:
        """Close what is no longer used, and give up what cannot be finished."""
        server = self._caller_server
        if not self._gate.stopping and not shutdown.gate_takes_calls(now):
            self._gate.stopping = True
            self._announce()
        server.draining = server.draining or shutdown.closes_connections(now)
        if shutdown.gives_up(now):
            self._gate.refuse_waiting(Reason.DRAINING)
            self._ingress.give_up_all(Reason.DRAINING)
        if server.closing_idle:
            return
        if shutdown.closes_listener(now, self._unfinished_work()):
            server.close_idle()
            server.stop_listening()

    def _unfinished_work(self) -> UnfinishedWork:
        server = self._caller_server
        return UnfinishedWork(
            self._gate.busy,
            self._ingress.in_flight,
            server.unwritten_bytes + self._links.unwritten_bytes,
            len(server.connections) if server.closing_idle else 0,
        )
