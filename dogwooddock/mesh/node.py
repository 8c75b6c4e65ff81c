"""The node: a sidecar process next to each target, running on one event loop."""

__all__ = ["MeshNode", "PlatformAdapter"]

import asyncio
import gc
import signal
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

import structlog

from ..errors import DogwooddockError
from ..http1.messages import Request
from ..jsontext import Steps
from ..listening import ListenSockets
from ..peers.linkcodec import (
    Frame,
    MarksFrame,
    ProbeFrame,
    PullFrame,
    PushFrame,
    QuotaAskFrame,
    QuotaGrantFrame,
)
from ..peers.links import Link, LinkHandler
from ..peers.linkserver import LinkServer
from ..peers.traffic import TrafficAccount
from ..policy.chains import ChainAdmission
from ..policy.descriptors import divide_descriptors
from ..policy.heldbytes import HeldBytes, budget_bytes, capacity_bytes
from ..policy.lifetimes import Heartbeat
from ..policy.quarantine import Mark
from ..policy.retryallowance import RetryAllowance
from ..policy.retryroom import RetryRoom
from ..policy.turnedaway import TurnedAwayShares
from .announcer import Announcer
from .calls import NodeRecord, StateUpdate
from .chainpolls import poll_levels
from .config import ConfigHolder
from .configproofs import ConfigProofs
from .environment import NodeEnvironment
from .fleet import Fleet, node_id_of
from .gate import Gate
from .heartbeats import TargetMonitor
from .ingress import Ingress
from .inspected import InspectedNode
from .listeners import Listeners
from .marks import MarkExchange
from .memberrows import MemberRows
from .members import era_of, position_of
from .memorywatch import MemoryWatch
from .quotas import Quotas
from .routing import DesiredState
from .rows import Row, RowStore
from .shutdown import NodeShutdown
from .statesync import StateSync
from .storereader import StoreReader
from .wireformat import HeaderFormat
from .zonerows import ZoneRows

NON_READER_FANOUT = 3
MAX_PUSHED_RECORDS = 32
SYNC_PERIOD_S = 1.0
MAINTENANCE_PERIOD_S = 1.0
JOB_RESTART_DELAY_S = 1.0
GC_THRESHOLD = 50_000

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Platform-specific services and formats that a node depends on.

    Args:
        store: The platform's store.
        wire: Reads and writes the platform's HTTP headers.
        decode_config: Parses the operator's configuration in steps.
        config_row: Table and key of the operator's configuration.
        read_heartbeat: Parses a message of the local target: a heartbeat, or the id,
            start time and sequence number of a target that leaves.
        ready_path: Path of the readiness probe.
        read_environment: Reads the settings again.
        settings_changed: Reports whether the settings changed since the last read.
    """

    store: RowStore
    wire: HeaderFormat
    decode_config: Callable[[bytes], Steps[DesiredState]]
    config_row: tuple[str, str]
    read_heartbeat: Callable[[Request], Heartbeat | tuple[str, int, int]]
    ready_path: bytes
    read_environment: Callable[[], NodeEnvironment]
    settings_changed: Callable[[], bool]


class MeshNode(LinkHandler, InspectedNode):
    """Create and connect the components of one process.

    Args:
        env: Settings of the node.
        platform: Adapter for the platform that the node runs on.
        rng: Source of randomness for target selection and jitter.
    """

    def __init__(self, env: NodeEnvironment, platform: PlatformAdapter, rng: Random):
        self.env = env
        self._platform = platform
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()
        self.node_id = node_id_of(env.peer_listen)
        self.traffic = TrafficAccount(env.zone)
        self.memory = HeldBytes(
            budget_bytes(env.memory_mb), capacity_bytes(env.memory_mb)
        )
        self.connection_limits = divide_descriptors(env.max_fds)
        self._memory_watch = MemoryWatch(self.memory)
        self.marks = MarkExchange(
            rng, self._publish_marks, lambda: self.gate.recheck_held()
        )
        self.config = ConfigHolder(platform.decode_config, self._on_config)
        bounds = env.bounds
        self.retries = RetryAllowance(
            bounds.retry_ratio, bounds.retry_extra, self._loop.time()
        )
        room = RetryRoom(TurnedAwayShares(), self.retries.window)
        chains = ChainAdmission(room, env.chain_levels)
        self.gate = Gate(platform.wire, self.marks, self.node_id, chains, self.memory)
        self.fleet = Fleet(
            env.peer_listen, env.zone, self.gate, self, rng, self.marks.record_loss
        )
        self.state_sync = StateSync(
            env.zone, self.config, self.fleet, self._merge_records
        )
        self.config_proofs = self._create_config_proofs()
        self.quotas = Quotas(env.bounds, self.fleet, rng)
        self.ingress = Ingress(
            env,
            platform.wire,
            self.config,
            self.fleet,
            self.gate,
            self.retries,
            self.marks.quarantine,
            self.quotas,
            rng,
            self.config_proofs,
            self.memory,
        )
        self._member_rows = MemberRows(
            platform.store, self.fleet.members, self._merge_records, self.marks
        )
        zone_rows = ZoneRows(platform.store, env.zone, self._on_zone_rows)
        self.store_reader = StoreReader(
            platform.store,
            zone_rows,
            platform.config_row[0],
            self.fleet,
            self._on_config_rows,
            self._on_member_rows,
            self._broadcast_state,
            rng,
            env.bounds.config_s,
            self._on_store_proof,
        )
        self.announcer = Announcer(
            platform.store, zone_rows, env.peer_listen, self.marks.quarantine, rng
        )
        self.target_monitor = TargetMonitor(
            env,
            self.gate,
            self.announcer,
            platform.wire,
            self._health_path,
            self._on_own_record,
        )
        self.listeners = Listeners(
            self.ingress,
            self.target_monitor,
            platform.ready_path,
            platform.read_heartbeat,
            self,
        )
        self.links = LinkServer(
            self.gate, self, self.memory, self.connection_limits.links
        )
        platform.store.on_new_era = self._follow_era

    def _create_config_proofs(self) -> ConfigProofs | None:
        bounds = self.env.bounds
        if bounds.revoke_s is None:
            return None
        return ConfigProofs(
            bounds.revoke_s,
            bounds.config_s,
            self.config,
            self.fleet,
            self._proof_probe,
            self._rng,
        )

    # Life cycle.

    async def run(self, sockets: ListenSockets) -> None:
        """Serve until SIGTERM or SIGINT, then drain requests in flight and return.

        Args:
            sockets: Sockets of its addresses.
        """
        for signum in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signum, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start(sockets)
        await self._stopping.wait()
        await self.stop()

    async def start(self, sockets: ListenSockets) -> None:
        """Start the servers and the background jobs."""
        env = self.env
        await self.links.start(sockets.take("peer"))
        await self.listeners.start(sockets)
        jobs = [
            *self.store_reader.jobs,
            self.target_monitor.recover,
            self.announcer.run,
            self.quotas.run,
        ]
        jobs += [self.fleet.maintain_links, self._run_maintenance, self._run_sync]
        if env.chain_levels:
            jobs.append(partial(poll_levels, self.fleet, self.gate.chains))
        if self.config_proofs is not None:
            jobs.append(partial(self.config_proofs.run, self.store_reader))
        self._tasks = [self._loop.create_task(_run_with_restarts(job)) for job in jobs]
        self.fleet.dial_contacts(env.contacts)
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 50)
        log.info("node_started", node=env.name, zone=env.zone, pool=env.pool)

    async def stop(self) -> None:
        """Drain callers, finish what was taken, write the answers and stop."""
        await NodeShutdown(
            self.env,
            self.gate,
            self.ingress,
            self.listeners.caller_server,
            self.links,
            self._broadcast_draining,
        ).run()
        self.listeners.stop()
        for task in self._tasks:
            task.cancel()
        self.links.stop()
        self.fleet.close()
        self.gate.connections.close()
        self._platform.store.close()
        log.info("node_stopped")

    def _broadcast_draining(self) -> None:
        """Tell peers that the gate takes no more calls."""
        self.links.broadcast(self.probe(reply=True))

    def reload(self) -> None:
        """Read the settings again; keep the current ones if the new ones are invalid.

        Only bounds, without that of withdrawn keys, and contacts are updated; other
        settings need a restart.
        """
        try:
            env = self._platform.read_environment()
        except DogwooddockError as exc:
            log.error("settings_refused", error=str(exc))
            return
        if env == self.env:
            return
        bounds = replace(env.bounds, revoke_s=self.env.bounds.revoke_s)
        updated = replace(self.env, bounds=bounds, contacts=env.contacts)
        log.info(
            "settings_reloaded",
            outcome="applied" if updated == env else "restart needed for other changes",
        )
        self.env = updated
        self.quotas.follow(updated.bounds)
        self.fleet.dial_contacts(updated.contacts)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            self.gate.connections.close_stale()
            self._memory_watch.check()
            self.marks.quarantine.expire(self._loop.time())
            self.retries.resize(len(self.fleet.members), self._loop.time())
            self.fleet.dial_zone()
            if self._platform.settings_changed():
                self.reload()

    async def _run_sync(self) -> None:
        """Exchange state with one random peer per period.

        What a peer missed when it was told of a change, it learns here from any node.
        """
        while True:
            await asyncio.sleep(SYNC_PERIOD_S * self._rng.uniform(0.8, 1.2))
            self.fleet.probe_random_link(self._rng)

    @property
    def store(self) -> RowStore:
        """Return the platform's store."""
        return self._platform.store

    def accepted_connections(self) -> dict[str, int]:
        """Return the connections that were accepted since the start, by purpose."""
        return self.listeners.accepted()

    @property
    def ready(self) -> bool:
        """Report whether requests can be served, and the node is not stopping."""
        if self.config.table is None or self._stopping.is_set():
            return False
        proofs = self.config_proofs
        return proofs is None or not proofs.awaits_first_proof()

    # Configuration and members.

    def _health_path(self) -> str:
        table = self.config.table
        if table is None:
            return "/health"
        return table.state.health_paths.get(self.env.pool, "/health")

    def _on_config(self, state: DesiredState) -> None:
        self.listeners.follow(state)
        self.quotas.apply(state.accounts)
        if self.config_proofs is not None:
            self.config_proofs.on_config()
        pools = {pool for route in state.routes for pool, _ in route.pools}
        self.fleet.preconnect(sorted(pools))
        if self.config.table is not None:
            self.gate.accounts = self.config.table.accounts
        self.target_monitor.reapply()
        self.state_sync.answers.send_held()
        max_links = 0 if self.store_reader.active else NON_READER_FANOUT
        self.links.broadcast(self._announcement(), max_links=max_links)

    def _announcement(self) -> ProbeFrame:
        """Return a probe that tells of new versions, without this node's record."""
        return replace(self.probe(reply=True), sender=None)

    def _on_config_rows(self, rows: tuple[Row, ...], version: int) -> None:
        _, key = self._platform.config_row
        for row in rows:
            if row.key == key and not row.removed:
                self.config.apply_if_newer(row.value, "store")

    def _on_store_proof(self, at: float, era: int) -> None:
        """Count a proof once the configuration that the store sent is in force."""
        proofs = self.config_proofs
        if proofs is not None:
            self.config.when_settled(partial(proofs.on_store_proof, at, era))

    def _on_member_rows(self, rows: tuple[Row, ...], version: int) -> None:
        since = self.fleet.members.position
        merged = self._member_rows.merge(rows, version)
        self.state_sync.answers.send_held()
        until = self.fleet.members.position
        if merged.marks:
            self.links.broadcast(MarksFrame(merged.marks), zone=self.env.zone)
        if len(merged.earlier) + len(merged.later) > MAX_PUSHED_RECORDS:
            self.links.broadcast(self._announcement(), zone=self.env.zone)
            return
        if merged.earlier:
            self._push_to_zone(StateUpdate(0, b"", tuple(merged.earlier), 0))
        if until > since:
            later = tuple(merged.later)
            self._push_to_zone(StateUpdate(0, b"", later, 0, since, until))

    def _push_to_zone(self, update: StateUpdate) -> None:
        self.links.broadcast(PushFrame(update), zone=self.env.zone)

    def _merge_records(self, records: Iterable[NodeRecord]) -> None:
        self.fleet.members.merge(records)
        own = self.fleet.members.find(self.env.peer_listen)
        if own is not None:
            self.target_monitor.learn(own)

    def _follow_era(self, era: int) -> None:
        """Write this node's row again once the store has come back from a copy.

        The store itself tells of its era, and peers do, since most nodes make no calls
        to it for a long time.
        """
        known = era_of(self.fleet.members.position)
        if era > known:
            self.fleet.members.advance(position_of(era, 0))
        if era > known > 0:
            log.warning("store_returned", era=era)
            self.store_reader.restart()
            self._broadcast_state()
        self.announcer.write_again(era, len(self.fleet.members))

    def _on_zone_rows(self, rows: tuple[Row, ...]) -> None:
        self._member_rows.merge(rows, 0)
        self.fleet.dial_zone()

    def _on_own_record(self, record: NodeRecord) -> None:
        self.fleet.members.merge([record])
        self._broadcast_state()

    def _broadcast_state(self) -> None:
        self._broadcast(self.probe(reply=True))

    def _broadcast(self, frame: Frame) -> None:
        self.links.broadcast(frame)
        self.fleet.broadcast(frame)

    def now(self) -> float:
        """Return the loop's time, in seconds."""
        return self._loop.time()

    # Peers.

    def config_version(self) -> int:
        """Return the version of the active configuration."""
        return self.config.version

    def probe(self, reply: bool, peer_position: int = 0) -> ProbeFrame:
        """Return a probe frame with the current state of this node.

        It is without the record of this node if the peer has that by its position.

        Args:
            reply: Whether the peer must not answer, as for answers and broadcasts.
            peer_position: Position of the store up to which the peer knows records; 0
                if that is not known.
        """
        record = self.target_monitor.record
        if self.announcer.is_known_at(peer_position, record):
            record = None
        return ProbeFrame(
            reply,
            self.config.version,
            self.fleet.members.position,
            self.gate.accepting,
            record,
            self.env.zone,
            self.store_reader.store_lost,
            self.marks.quarantine.digest(),
            takes_parts=True,
        )

    def _proof_probe(
        self, reply: bool, asked_at_us: int, age_s: float | None
    ) -> ProbeFrame:
        """Return a question for the age of the configuration, or the answer to one.

        Without the record of this node, which the peers have by other probes.
        """
        return replace(
            self.probe(reply), sender=None, asked_at_us=asked_at_us, config_age_s=age_s
        )

    def answer(self, probe: ProbeFrame) -> ProbeFrame:
        """Return the answer to a peer's probe."""
        if self.config_proofs is None or probe.asked_at_us is None:
            return self.probe(reply=True, peer_position=probe.members_version)
        return self.config_proofs.answer(probe)

    def on_config_version(self, link: Link, version: int) -> None:
        """Request a newer configuration from a peer, preferring the local zone."""
        self.state_sync.on_config_version(link, version)

    def on_frame(self, link: Link, frame: Frame) -> None:
        """Handle a frame other than a call or a reply."""
        if isinstance(frame, ProbeFrame):
            if frame.sender is not None:
                self._merge_records([frame.sender])
            self.state_sync.on_probe(link, frame)
            self._send_missing_marks(link, frame.marks_digest)
            self._follow_era(era_of(frame.members_version))
            if frame.reply and self.config_proofs is not None:
                self.config_proofs.on_answer(frame)
        elif isinstance(frame, PullFrame):
            self.state_sync.on_pull(link, frame)
        elif isinstance(frame, PushFrame):
            self.state_sync.on_push(frame)
            update = frame.update
            self._follow_era(era_of(max(update.members_version, update.members_until)))
        elif isinstance(frame, MarksFrame):
            self.marks.learn(frame.marks, "peer")
        elif isinstance(frame, QuotaAskFrame | QuotaGrantFrame):
            self.quotas.on_frame(link, frame)

    def _publish_marks(self, marks: tuple[Mark, ...]) -> None:
        """Tell all peers of marks that this node made, and write them to the store."""
        self._broadcast(MarksFrame(marks))
        self.announcer.announce_marks()

    def _send_missing_marks(self, link: Link, digest: int) -> None:
        """Send marks to a peer whose set of marks differs."""
        marks = self.marks.sample_for_peer(digest)
        if marks:
            link.send(MarksFrame(marks))


async def _run_with_restarts(job: Callable[[], Awaitable[None]]) -> None:
    """Run a background job until it returns, restarting it after an exception."""
    while True:
        try:
            await job()
            return
        except Exception:
            log.exception("job_failed", job=getattr(job, "__qualname__", ""))
            await asyncio.sleep(JOB_RESTART_DELAY_S)
