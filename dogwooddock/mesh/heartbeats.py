"""Heartbeats and leave messages of the local target, and their acknowledgement."""

__all__ = ["TargetMonitor"]

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
HEALTH_CHECK_TIMEOUT_S = 0.8
HEALTH_RECHECK_DELAY_S = 1.0
DRAIN_WRITE_TIMEOUT_S = 2.0

log = structlog.get_logger()


class TargetMonitor:
    """Track the state of the local target and apply it to the gate and the store.

    A drain that was acknowledged must also hold for later processes of this node.
    Therefore it is written to the store before it is acknowledged, unless the store
    does not accept it within DRAIN_WRITE_TIMEOUT_S. A new process reads the record
    back and opens the gate for a target only after a health check of its own.

    Args:
        env: Settings of the node.
        gate: Gate of the local target.
        announcer: Writes this node's record to the store.
        wire: Builds health requests and reads their responses.
        health_path: Returns the path of the health check.
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
        self._healthy_lifetime: tuple[int, str] | None = None
        self._check_running = False
        self._drain_requested_at: float | None = None
        self.record: NodeRecord | None = None
        gate.served.on_ended = self._require_health_check
        gate.served.on_leaving = self._on_leaving_answer

    async def recover(self) -> None:
        """Load the state that an earlier process of this node wrote to the store.

        Gives up after RECOVER_TIMEOUT_S. Until this has finished, no message of the
        target is acknowledged.
        """
        try:
            async with asyncio.timeout(RECOVER_TIMEOUT_S):
                record = await self._announcer.recover()
        except (PlatformError, TimeoutError) as exc:
            log.warning("own_record_unread", error=str(exc))
            record = None
        if record is not None and record.pool == self._env.pool:
            self._tracker.recover(_heartbeat_from(record, self._env.target))
        self._recovered = True
        self.reapply()

    def learn(self, record: NodeRecord) -> None:
        """Take up a record of this node that peers know from an earlier process.

        The store may lack it if it came back from a copy.
        """
        current = self._tracker.current
        if record.pool != self._env.pool:
            return
        if current is not None and (record.born_ms, record.state) <= (
            current.born_ms,
            current.state,
        ):
            return
        self._tracker.recover(_heartbeat_from(record, self._env.target))
        self.reapply()

    def reapply(self) -> None:
        """Apply the current target state again, such as after a configuration change.

        Starts a health check if the target has not passed one yet.
        """
        current = self._tracker.current
        if self._recovered and current is not None:
            self._apply(current)

    # Messages of the target.

    def on_heartbeat(self, beat: Heartbeat) -> bool:
        """Process a heartbeat; return whether to acknowledge it.

        A drain is acknowledged only if it was taken up.
        """
        if not self._recovered or beat.pool != self._env.pool:
            return False
        previous = self._tracker.current
        if self._tracker.observe(beat):
            log.info(
                "target_heartbeat",
                target=beat.target_id,
                state=beat.state.name,
                sequence=beat.sequence,
                born_ms=beat.born_ms,
                slots=beat.slots,
            )
            self._report_replacement(previous, beat)
        current = self._tracker.current
        if current is None or current.target_id != beat.target_id:
            return True
        self._apply(current)
        if not _is_in_force(beat.state, current):
            return False
        return self._may_acknowledge(current)

    def _report_replacement(self, previous: Heartbeat | None, beat: Heartbeat) -> None:
        """Report that a target ended without leaving, if a later lifetime shows it."""
        if previous is None or previous.lifetime == beat.lifetime:
            return
        if previous.state is TargetState.READY:
            self._gate.losses.target_ended()

    def on_leave(self, target_id: str, born_ms: int, sequence: int) -> bool:
        """Process a leave message; return whether to acknowledge it."""
        if not self._recovered:
            return False
        if self._tracker.observe_leave(target_id, born_ms, sequence):
            log.info("target_left", target=target_id, born_ms=born_ms)
        current = self._tracker.current
        if current is None or current.target_id != target_id:
            return True
        self._apply(current)
        if not _is_in_force(TargetState.GONE, current):
            return False
        return self._may_acknowledge(current)

    def _on_leaving_answer(self, target_id: str) -> None:
        """Take the target for draining, whatever its heartbeats say."""
        if self._tracker.observe_leaving(target_id):
            log.info("target_leaving", target=target_id)
            self.reapply()

    def _may_acknowledge(self, current: Heartbeat) -> bool:
        """Report whether a message about this state may be acknowledged now.

        A state other than READY has to be in the store first, or must have waited
        DRAIN_WRITE_TIMEOUT_S for it; the first call starts that wait.
        """
        if current.state is TargetState.READY:
            self._drain_requested_at = None
            return True
        if self._announcer.synced:
            return True
        now = self._loop.time()
        if self._drain_requested_at is None:
            self._drain_requested_at = now
        return now - self._drain_requested_at >= DRAIN_WRITE_TIMEOUT_S

    @property
    def drain_pending(self) -> bool:
        """Report whether the acknowledgement of a drain waits for the store."""
        current = self._tracker.current
        return current is not None and not self._may_acknowledge(current)

    # Effects on gate and store.

    def _require_health_check(self) -> None:
        self._healthy_lifetime = None

    def _apply(self, current: Heartbeat) -> None:
        if current.state is not TargetState.READY:
            if self._gate.served.usable:
                self._gate.refuse_all()
            self._publish_record(current)
        elif self._healthy_lifetime == current.lifetime:
            self._open_gate(current)
        elif not self._check_running:
            self._check_running = True
            self._loop.create_task(self._run_health_check(current))

    async def _run_health_check(self, beat: Heartbeat) -> None:
        """Check the health of a target in a new lifetime; open the gate on success.

        The response has to carry the expected target id. After a failure, the check
        is repeated after HEALTH_RECHECK_DELAY_S.
        """
        try:
            healthy_id = await self._request_health(beat)
        finally:
            self._check_running = False
        current = self._tracker.current
        if current is None or current.lifetime != beat.lifetime:
            return
        if healthy_id != beat.target_id:
            log.info(
                "target_not_taken", target=beat.target_id, answered=healthy_id or "none"
            )
            self._loop.call_later(HEALTH_RECHECK_DELAY_S, self._recheck, beat.lifetime)
            return
        self._healthy_lifetime = beat.lifetime
        self._apply(current)

    def _recheck(self, lifetime: tuple[int, str]) -> None:
        current = self._tracker.current
        if current is not None and current.lifetime == lifetime:
            self._apply(current)

    async def _request_health(self, beat: Heartbeat) -> str:
        pool = ConnectionPool(beat.address)
        host = f"{beat.address[0]}:{beat.address[1]}"
        data = self._wire.health_request(host, self._health_path())
        conn = None
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                conn = await pool.open()
                result = await conn.exchange(data)
        except OSError as exc:
            log.info("target_unprobed", target=beat.target_id, error=repr(exc))
            return ""
        finally:
            if conn is not None:
                conn.close()
        return self._wire.healthy_id(result) if isinstance(result, Response) else ""

    def _open_gate(self, beat: Heartbeat) -> None:
        reopened = not self._gate.accepting
        self._gate.serve(
            GateTarget(beat.target_id, beat.address, beat.slots, beat.born_ms)
        )
        published = self._publish_record(beat)
        if reopened and not published and self.record is not None:
            self._on_record(self.record)

    def _publish_record(self, beat: Heartbeat) -> bool:
        """Publish the record of a target if it changed; return whether it did."""
        previous = self.record
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
        if previous is not None and _is_unchanged(previous, record):
            return False
        self.record = record
        self._announcer.announce(record)
        self._on_record(record)
        return True


def _is_in_force(state: TargetState, current: Heartbeat) -> bool:
    """Report whether a state that a target named, or a later one, was taken up."""
    return current.state >= state


def _is_unchanged(previous: NodeRecord, record: NodeRecord) -> bool:
    return (previous.target_id, previous.born_ms, previous.state, previous.slots) == (
        record.target_id,
        record.born_ms,
        record.state,
        record.slots,
    )


def _heartbeat_from(record: NodeRecord, address: tuple[str, int]) -> Heartbeat:
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
