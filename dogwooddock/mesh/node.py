"""The node: one process beside each target, on an event loop."""

__all__ = ["MeshNode", "PlatformParts"]

import asyncio
import gc
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random

import structlog

from ..errors import DogwooddockError
from ..http1.messages import Request
from ..peers.linkcodec import Frame, MarksFrame, ProbeFrame, PullFrame, PushFrame
from ..peers.links import Link, LinkHandler, LinkServer
from ..policy.lifetimes import Heartbeat
from ..policy.quarantine import Mark, Quarantine
from ..policy.retries import RetryBudget
from .announcer import Announcer
from .calls import NodeRecord, StateUpdate
from .config import ConfigHolder
from .environment import NodeEnvironment
from .fleet import Fleet, node_id_of
from .gate import Gate
from .heartbeats import TargetWatch
from .ingress import Ingress
from .listeners import Listeners
from .reading import StoreReading
from .recordrows import MalformedRecord, decode_record
from .routing import DesiredState
from .rows import Row, RowStore
from .wireformat import HeaderFormat

RETRY_SHARE = 0.8
MOST_RETRY_TOKENS = 4.0
DRAIN_LISTEN_MARGIN_S = 0.1
GATE_CLOSES_BEFORE_S = 0.7
PULL_AGAIN_S = 0.2
PULL_ELSEWHERE_S = 0.3
TOLD_BY_LEARNERS = 3
MOST_PUSHED = 32
EXIT_MARGIN_S = 0.6
HOUSEKEEPING_S = 1.0
JOB_RESTART_S = 1.0
GC_THRESHOLD = 50_000

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PlatformParts:
    """What the platform's adapter provides.

    Args:
        store: The platform's store.
        wire: Header names and values.
        decode_config: Reads the operator's configuration.
        config_place: Table and key of the operator's configuration.
        read_heartbeat: Reads a message of the local target: a heartbeat, or the
            identity, start and sequence of one that leaves.
        ready_path: Path of the readiness probe.
        read_environment: Reads the settings anew.
        settings_changed: Reports whether the settings changed since they were read.
    """

    store: RowStore
    wire: HeaderFormat
    decode_config: Callable[[bytes], DesiredState]
    config_place: tuple[str, str]
    read_heartbeat: Callable[[Request], Heartbeat | tuple[str, int, int]]
    ready_path: bytes
    read_environment: Callable[[], NodeEnvironment]
    settings_changed: Callable[[], bool]


class MeshNode(LinkHandler):
    """All parts of one process, wired together.

    Args:
        env: What the node was told at the start.
        parts: The platform's adapter.
        rng: Source of choices and spreads.
    """

    def __init__(self, env: NodeEnvironment, parts: PlatformParts, rng: Random):
        self.env = env
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._pulled_version = 0
        self._pulled_at = 0.0
        self._stopping = asyncio.Event()
        self.node_id = node_id_of(env.peer_listen)
        self.quarantine = Quarantine()
        self.config = ConfigHolder(parts.decode_config, self._on_config)
        self.budget = RetryBudget(
            env.bounds.retry_ratio * RETRY_SHARE, MOST_RETRY_TOKENS
        )
        self.gate = Gate(parts.wire, self.quarantine, self._on_target_lost)
        self.fleet = Fleet(env.peer_listen, env.zone, self.gate, self, rng)
        self.ingress = Ingress(
            env,
            parts.wire,
            self.config,
            self.fleet,
            self.gate,
            self.budget,
            self.quarantine,
            rng,
        )
        self.reading = StoreReading(
            parts.store,
            parts.config_place[0],
            self.fleet,
            self._on_config_rows,
            self._on_member_rows,
            self._tell_state,
            rng,
        )
        self.announcer = Announcer(parts.store, env.zone, env.peer_listen, rng)
        self.watch = TargetWatch(
            env,
            self.gate,
            self.announcer,
            parts.wire,
            self._health_path,
            self._on_own_record,
        )
        self.listeners = Listeners(
            self.ingress, self.watch, parts.ready_path, parts.read_heartbeat, self
        )
        self.links = LinkServer(self.gate, self)

    # Life cycle.

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is in flight and return."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        env = self.env
        await self.links.start(env.peer_listen)
        await self.listeners.start(env)
        jobs = [*self.reading.jobs, self.watch.recover, self.announcer.run]
        jobs += [self.fleet.watch, self._keep_house]
        self._tasks = [self._loop.create_task(_keep_running(job)) for job in jobs]
        self.fleet.dial_contacts(env.contacts)
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 50)
        log.info("node_started", node=env.name, zone=env.zone, pool=env.pool)

    async def stop(self) -> None:
        """Turn callers away, finish what is in flight and stop.

        The target behind the gate is as good as before, so the gate takes calls until
        those can just end while callers' last requests are awaited anyway.
        """
        started = time.monotonic()
        bounds = self.env.bounds
        deadline = started + bounds.grace_s - EXIT_MARGIN_S
        listen_until = started + bounds.drain_s + DRAIN_LISTEN_MARGIN_S
        gate_until = listen_until - GATE_CLOSES_BEFORE_S
        log.info("node_draining", in_flight=self.ingress.in_flight)
        callers = self.listeners.callers
        callers.draining = True
        while time.monotonic() < deadline:
            await asyncio.sleep(0.02)
            if not self.gate.stopping and time.monotonic() >= gate_until:
                self.gate.stopping = True
                self.links.broadcast(self.probe(reply=True))
            if self.gate.busy or time.monotonic() < listen_until:
                continue  # The target's runs may still need calls of their own.
            if not callers.closing_idle:
                callers.close_idle()
                callers.stop_listening()
            if not self.ingress.in_flight:
                break
        self.listeners.stop()
        for task in self._tasks:
            task.cancel()
        self.links.stop()
        self.fleet.close()
        self.gate.reach.close()
        self._parts.store.close()
        log.info("node_stopped", in_flight=self.ingress.in_flight)

    def reload(self) -> None:
        """Take up changed settings; faulty ones leave the old ones in force.

        Bounds and contacts may change; addresses and identity need a restart.
        """
        try:
            env = self._parts.read_environment()
        except DogwooddockError as exc:
            log.error("settings_refused", error=str(exc))
            return
        if env == self.env:
            return
        fixed = replace(self.env, bounds=env.bounds, contacts=env.contacts)
        log.info(
            "settings_reloaded",
            outcome="in force" if fixed == env else "restart for addresses",
        )
        self.env = fixed
        self.fleet.dial_contacts(fixed.contacts)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.gate.reach.trim()
            self._share_budget()
            if self._parts.settings_changed():
                self.reload()

    def _share_budget(self) -> None:
        """Take this node's part of the fleet's retries."""
        nodes = max(1, len(self.fleet.members))
        share = self.env.bounds.retry_extra * RETRY_SHARE / nodes
        self.budget.max_tokens = min(MOST_RETRY_TOKENS, max(1.0, share))

    @property
    def store(self) -> RowStore:
        """Return the platform's store."""
        return self._parts.store

    @property
    def ready(self) -> bool:
        """Report whether callers may send requests here."""
        return self.config.table is not None and not self._stopping.is_set()

    # Configuration and members.

    def _health_path(self) -> str:
        table = self.config.table
        if table is None:
            return "/health"
        return table.state.health_paths.get(self.env.pool, "/health")

    def _on_config(self, state: DesiredState) -> None:
        self.listeners.callers.limits = state.limits
        pools = {pool for route in state.routes for pool, _ in route.pools}
        self.fleet.warm(sorted(pools))
        self.watch.reconsider()
        most = 0 if self.reading.active else TOLD_BY_LEARNERS
        self.links.broadcast(self.probe(reply=True), max_links=most)

    def _on_config_rows(self, rows: tuple[Row, ...], version: int) -> None:
        _, key = self._parts.config_place
        for row in rows:
            if row.key == key and not row.removed:
                self.config.offer(row.value, "store")

    def _on_member_rows(self, rows: tuple[Row, ...], version: int) -> None:
        records = []
        for row in rows:
            if row.removed:
                continue
            try:
                records.append(decode_record(row.value))
            except MalformedRecord as exc:
                log.warning("record_malformed", key=row.key, error=str(exc))
        self.fleet.members.merge(records)
        self.fleet.members.version = max(self.fleet.members.version, version)
        if 0 < len(records) <= MOST_PUSHED:
            update = StateUpdate(0, b"", tuple(records), 0)
            self.links.broadcast(PushFrame(update), zone=self.env.zone)

    def _on_own_record(self, record: NodeRecord) -> None:
        self.fleet.members.merge([record])
        self._tell_state()

    def _tell_state(self) -> None:
        self._tell_everyone(self.probe(reply=True))

    def _tell_everyone(self, frame: Frame) -> None:
        self.links.broadcast(frame)
        self.fleet.tell_all(frame)

    def now(self) -> float:
        """Return the loop's time, in seconds."""
        return self._loop.time()

    # Peers.

    def config_version(self) -> int:
        """Return the version of the configuration in force."""
        return self.config.version

    def probe(self, reply: bool) -> ProbeFrame:
        """Return a sign of life of this node."""
        return ProbeFrame(
            reply,
            self.config.version,
            self.fleet.members.version,
            self.gate.accepting,
            self.watch.record,
            self.env.zone,
            self.reading.lost,
        )

    def on_config_version(self, link: Link, version: int) -> None:
        """Ask a peer that has a newer configuration for it, the own zone first."""
        self._follow_config(link, version)

    def _follow_config(self, link: Link, version: int) -> bool:
        """Ask for a newer configuration, now or later; return whether it was now."""
        if version <= self.config.version:
            return False
        if link.peer_zone == self.env.zone or not self.config.version:
            return self._pull_config(link, version)
        self._loop.call_later(PULL_ELSEWHERE_S, self._pull_config, link, version)
        return False

    def _pull_config(self, link: Link, version: int) -> bool:
        now = self._loop.time()
        asked = (
            version <= self._pulled_version and now - self._pulled_at <= PULL_AGAIN_S
        )
        if version <= self.config.version or asked:
            return False
        self._pulled_version, self._pulled_at = version, now
        self._pull(link)
        return True

    def _pull(self, link: Link) -> None:
        link.send(PullFrame(self.config.version, self.fleet.members.version))

    def on_frame(self, link: Link, frame: Frame) -> None:
        """Take a frame other than a call or a reply."""
        if isinstance(frame, ProbeFrame):
            if frame.sender is not None:
                self.fleet.members.merge([frame.sender])
            pulled = self._follow_config(link, frame.config_version)
            if not pulled and self._lacks_members(link, frame.members_version):
                self._pull(link)
        elif isinstance(frame, PullFrame):
            link.send(PushFrame(self._update_for(frame)))
        elif isinstance(frame, PushFrame):
            self._take_update(frame.update)
        elif isinstance(frame, MarksFrame):
            now = self._loop.time()
            for mark in frame.marks:
                self.quarantine.add(now, mark)

    def _lacks_members(self, link: Link, version: int) -> bool:
        """Report whether to ask a peer for members: the own zone, or any at first."""
        members = self.fleet.members
        near = link.peer_zone == self.env.zone or not len(members)
        return near and version > members.version

    def _update_for(self, pull: PullFrame) -> StateUpdate:
        members: tuple[NodeRecord, ...] = ()
        if pull.members_version < self.fleet.members.version:
            members = tuple(self.fleet.members.everyone())
        document = b""
        if pull.config_version < self.config.version:
            document = self.config.document
        return StateUpdate(
            self.config.version, document, members, self.fleet.members.version
        )

    def _take_update(self, update: StateUpdate) -> None:
        if update.document:
            self.config.offer(update.document, "peer")
        self.fleet.members.merge(update.members)
        members = self.fleet.members
        members.version = max(members.version, update.members_version)

    def _on_target_lost(self, fingerprints: list[str]) -> None:
        now = self._loop.time()
        marks: list[Mark] = []
        for request in dict.fromkeys(fingerprints):
            mark = self.quarantine.observe_loss(now, request, self.node_id)
            if mark is not None:
                marks.append(mark)
        log.warning("target_crashed", suspects=len(marks))
        self._tell_everyone(MarksFrame(tuple(marks)))


async def _keep_running(job: Callable[[], Awaitable[None]]) -> None:
    """Run a background job to its end, again after a fault of its own."""
    while True:
        try:
            await job()
            return
        except Exception:
            log.exception("job_failed", job=getattr(job, "__qualname__", ""))
            await asyncio.sleep(JOB_RESTART_S)
