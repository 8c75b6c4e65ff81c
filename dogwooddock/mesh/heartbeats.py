"""What the local target says of itself, and when that is acknowledged."""

__all__ = ["TargetWatch"]

import asyncio
from collections.abc import Callable

import structlog

from ..errors import PlatformError
from ..http1.client import ConnectionPool
from ..http1.messages import Response
from ..policy.lifetimes import Heartbeat, LifetimeTracker, TargetState
from .announcer import Announcer
from .calls import NodeRecord
from .environment import NodeEnvironment
from .gate import Gate
from .gatecalls import GateTarget
from .wireformat import HeaderFormat

RECOVER_TIMEOUT_S = 1.5
PROBE_TIMEOUT_S = 0.8
CHECK_AGAIN_S = 1.0
DRAIN_WRITE_S = 2.0

log = structlog.get_logger()


class TargetWatch:
    """Follow the local target's lifetimes and keep gate and store in line.

    An acknowledged drain binds later processes of this node too. It is written to
    the store before it is acknowledged while the store can be reached; a new process
    reads it there, and takes up a target only after a health check of its own.

    Args:
        env: What the node was told at the start.
        gate: Gate of the target.
        announcer: Writes this node's record.
        wire: Header names and values.
        health_path: Returns the health check's path.
        on_record: Called with each new record of this node.
    """

    def __init__(
        self,
        env: NodeEnvironment,
        gate: Gate,
        announcer: Announcer,
        wire: HeaderFormat,
        health_path: Callable[[], str],
        on_record: Callable[[NodeRecord], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._env = env
        self._gate = gate
        self._announcer = announcer
        self._wire = wire
        self._health_path = health_path
        self._on_record = on_record
        self._tracker = LifetimeTracker()
        self._recovered = False
        self._checked: tuple[int, str] | None = None
        self._checking = False
        self._drain_asked_at: float | None = None
        self.record: NodeRecord | None = None

    async def recover(self) -> None:
        """Learn what an earlier process of this node acknowledged, if possible."""
        try:
            async with asyncio.timeout(RECOVER_TIMEOUT_S):
                record = await self._announcer.recover()
        except (PlatformError, TimeoutError) as exc:
            log.warning("own_record_unread", error=str(exc))
            record = None
        if record is not None and record.pool == self._env.pool:
            self._tracker.recover(_heartbeat_of(record, self._env.target))
        self._recovered = True
        self.reconsider()

    def reconsider(self) -> None:
        """Take up a target that is known and was not checked yet."""
        current = self._tracker.current
        if self._recovered and current is not None:
            self._apply(current)

    # Messages.

    def on_heartbeat(self, beat: Heartbeat) -> bool:
        """Take a heartbeat; return whether to acknowledge it."""
        if not self._recovered or beat.pool != self._env.pool:
            return False
        if self._tracker.observe(beat):
            log.info(
                "target_heartbeat",
                target=beat.target_id,
                state=beat.state.name,
                sequence=beat.sequence,
                born_ms=beat.born_ms,
                slots=beat.slots,
            )
        current = self._tracker.current
        if current is None or current.target_id != beat.target_id:
            return True
        self._apply(current)
        return self._may_acknowledge(current)

    def on_leave(self, target_id: str, born_ms: int, sequence: int) -> bool:
        """Take a leave; return whether to acknowledge it."""
        if not self._recovered:
            return False
        if self._tracker.observe_leave(target_id, born_ms, sequence):
            log.info("target_left", target=target_id, born_ms=born_ms)
        current = self._tracker.current
        if current is None or current.target_id != target_id:
            return True
        self._apply(current)
        return self._may_acknowledge(current)

    def _may_acknowledge(self, current: Heartbeat) -> bool:
        """Report whether a message about this state may be acknowledged now."""
        if current.state is TargetState.READY:
            self._drain_asked_at = None
            return True
        if self._announcer.settled:
            return True
        now = self._loop.time()
        if self._drain_asked_at is None:
            self._drain_asked_at = now
        return now - self._drain_asked_at >= DRAIN_WRITE_S

    @property
    def drain_pending(self) -> bool:
        """Report whether a drain waits for the store before its acknowledgement."""
        current = self._tracker.current
        return current is not None and not self._may_acknowledge(current)

    # Effects.

    def _apply(self, current: Heartbeat) -> None:
        if current.state is not TargetState.READY:
            if self._gate.accepting:
                self._gate.refuse_all()
            self._publish(current)
        elif self._checked == current.lifetime:
            self._serve(current)
        elif not self._checking:
            self._checking = True
            self._loop.create_task(self._check(current))

    async def _check(self, beat: Heartbeat) -> None:
        """Ask a target of a new lifetime whether it is there and takes work."""
        try:
            healthy_id = await self._probe(beat)
        finally:
            self._checking = False
        current = self._tracker.current
        if current is None or current.lifetime != beat.lifetime:
            return
        if healthy_id != beat.target_id:
            log.info(
                "target_not_taken", target=beat.target_id, answered=healthy_id or "none"
            )
            self._loop.call_later(CHECK_AGAIN_S, self._check_again, beat.lifetime)
            return
        self._checked = beat.lifetime
        self._apply(current)

    def _check_again(self, lifetime: tuple[int, str]) -> None:
        current = self._tracker.current
        if current is not None and current.lifetime == lifetime:
            self._apply(current)

    async def _probe(self, beat: Heartbeat) -> str:
        pool = ConnectionPool(beat.address)
        host = f"{beat.address[0]}:{beat.address[1]}"
        data = self._wire.health_request(host, self._health_path())
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                conn = await pool.open()
                result = await conn.exchange(data)
        except OSError as exc:
            log.info("target_unprobed", target=beat.target_id, error=repr(exc))
            return ""
        conn.close()
        return self._wire.healthy_id(result) if isinstance(result, Response) else ""

    def _serve(self, beat: Heartbeat) -> None:
        self._gate.serve(GateTarget(beat.target_id, beat.address, beat.slots))
        self._publish(beat)

    def _publish(self, beat: Heartbeat) -> None:
        held = self.record
        record = NodeRecord(
            self._env.peer_listen,
            self._env.zone,
            beat.pool,
            beat.target_id,
            beat.born_ms,
            beat.sequence,
            beat.slots,
            beat.state,
            beat.cold_s,
        )
        if held is not None and _same(held, record):
            return
        self.record = record
        self._announcer.announce(record)
        self._on_record(record)


def _same(held: NodeRecord, record: NodeRecord) -> bool:
    return (held.target_id, held.born_ms, held.state, held.slots) == (
        record.target_id,
        record.born_ms,
        record.state,
        record.slots,
    )


def _heartbeat_of(record: NodeRecord, address: tuple[str, int]) -> Heartbeat:
    return Heartbeat(
        target_id=record.target_id,
        pool=record.pool,
        address=address,
        slots=record.slots,
        state=record.state,
        cold_s=0.0,
        sequence=record.sequence,
        born_ms=record.born_ms,
    )
