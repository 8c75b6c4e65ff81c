"""Detection of the end of the local target's lifetime."""

__all__ = ["LossWatch"]

import asyncio
from collections.abc import Callable

from ..http1.client import ClientConnection
from ..policy.losses import TargetLosses
from ..policy.unanswered import TargetLifetime, UnansweredRun
from .gatecalls import GateCall
from .targetconnections import TargetConnections

# A process that crashes may reset connections shortly before its port closes.
CHECK_DELAY_S = 0.02
MAX_CHECK_WAIT_S = 0.2


class LossWatch:
    """Tell which runs were cut off by the end of the target's lifetime.

    A lifetime has ended when a connect is refused, a later lifetime reports, or another
    target answers at its address. Its runs that were cut off without an answer shortly
    before are reported then, later ones when they are cut off.

    Args:
        node_id: This node.
        connections: Connections to the target.
        on_ended: Called when the current lifetime is known to have ended.
        on_target_lost: Called with the runs that a lifetime's end cut off.
    """

    def __init__(
        self,
        node_id: int,
        connections: TargetConnections,
        on_ended: Callable[[], None],
        on_target_lost: Callable[[list[UnansweredRun]], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._connections = connections
        self._on_ended = on_ended
        self._on_target_lost = on_target_lost
        self._losses = TargetLosses(TargetLifetime(node_id, 0))
        self._check: asyncio.Task[None] | None = None
        connections.on_target_ended = self.target_ended

    @property
    def lifetime(self) -> TargetLifetime:
        """Return the present lifetime of the target, or the last one."""
        return self._losses.lifetime

    def watch(self, born_ms: int) -> None:
        """Watch a new lifetime of the target."""
        self._losses.watch(born_ms)

    def record_answer(self, conn: ClientConnection) -> None:
        """Record an answer: the target has lived since its connection was opened."""
        self._losses.record_answer(self._loop.time(), conn.opened_at)

    def record_cut_off(self, gate_call: GateCall) -> None:
        """Record a call whose connection the target closed before it answered."""
        self._add(gate_call)

    def record_given_up(self, gate_call: GateCall) -> None:
        """Record a call that is given up, if the target was silent all the while."""
        if self._losses.was_silent_since(gate_call.sent_at):
            self._add(gate_call)
            self._start_check()

    def _add(self, gate_call: GateCall) -> None:
        lifetime = gate_call.target_lifetime or self.lifetime
        fingerprint = gate_call.call.fingerprint
        now = self._loop.time()
        self._losses.add(UnansweredRun(lifetime, fingerprint, gate_call.sent_at, now))
        if self._losses.has_ended(lifetime):
            self._report(lifetime)

    async def check(self) -> None:
        """Connect to the target, which detects a crash; wait a short time for it."""
        await asyncio.wait([self._start_check()], timeout=MAX_CHECK_WAIT_S)

    def _start_check(self) -> asyncio.Task[None]:
        if self._check is None or self._check.done():
            self._check = self._loop.create_task(self._connect())
        return self._check

    async def _connect(self) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        pool = self._connections.pool
        try:
            conn = await self._connections.open(pool)
        except OSError:
            return
        pool.release(conn)

    def target_ended(self) -> None:
        """Record that the current lifetime has ended, and report its runs if any."""
        self._losses.end(self._loop.time())
        self._on_ended()
        self._report(self.lifetime)

    def _report(self, lifetime: TargetLifetime) -> None:
        runs = self._losses.take(self._loop.time(), lifetime)
        if runs:
            self._on_target_lost(runs)
