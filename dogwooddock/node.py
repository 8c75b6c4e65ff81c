"""The node process, which runs next to each target."""

__all__ = ["Node"]

import os
import threading
import time
from collections.abc import Mapping
from random import Random

import structlog

from .bytebudget import ByteBudget, body_budget_bytes
from .callers.dependencies import IngressDependencies
from .callers.disconnects import DisconnectWatcher
from .callers.ingress import Ingress
from .callers.keyed import KeyedRequests
from .callers.server import CallerServer, ServerLimits
from .config.store import ConfigStore
from .config.sync import ConfigHolder, ConfigSync
from .discovery.contacts import ContactRows
from .discovery.joining import Joining
from .inspection import describe_gate, describe_ingress
from .keys.committer import DirectKeyBatchExecutor, KeyService
from .keys.rows import KeyStore
from .listening import ListenSockets, reserve
from .operators.admin import AdminServer
from .operators.nodestate import GossipTraffic, InspectedNode, NodeHealth, NodeState
from .peers.batching import ZoneKeyBatchExecutor
from .peers.client import PeerConnections
from .peers.directory import MemberDirectory
from .peers.fleet import NodeFleet, PeerHandler
from .peers.gossip import Gossip, GossipCallbacks
from .peers.markbroadcast import MarkBroadcast
from .peers.server import PeerServer
from .policy.admission import AdmissionController
from .policy.allowance import AllowanceLedger
from .policy.configlog import LogSlice
from .policy.levels import LevelTable
from .policy.limits import AdaptiveLimit, ConcurrencyLimit, StaticLimit
from .policy.members import Member, MemberState
from .policy.quarantine import Mark, Quarantine
from .policy.retries import RetryBudget
from .policy.selection import Selector
from .policy.shutdown import Shutdown, UnfinishedWork
from .policy.tickets import TicketRegistry
from .settings import NodeSettings, listen_addresses
from .store.base import ObjectStore, TableService
from .store.http import HttpObjectStore, HttpTableService
from .tables import Tables
from .targets.dependencies import GateDependencies
from .targets.gate import Gate
from .targets.localtarget import LocalTarget

INITIAL_LIMIT = 4
PULL_TIMEOUT_S = 1.0
LEAVE_PROPAGATION_S = 0.3
IDLE_POLL_PERIOD_S = 0.01
RESERVED_THREADS = 8

log = structlog.get_logger()


class Node(InspectedNode):
    """Create, connect and run the components of one node process.

    Args:
        settings: Validated settings.
        tables: Table service; by default the one at ``platform_url``.
        objects: Object store; by default the one at ``platform_url``.
        sockets: Sockets of its addresses; by default they are opened.
    """

    def __init__(
        self,
        settings: NodeSettings,
        tables: TableService | None = None,
        objects: ObjectStore | None = None,
        sockets: ListenSockets | None = None,
    ):
        self.settings = settings
        seed = settings.seed or int.from_bytes(os.urandom(8), "big")
        self.rng = Random(seed)
        self.node_id = int.from_bytes(os.urandom(8), "big") or 1
        self.started_at = time.monotonic()
        self.members = MemberDirectory(self.node_id, settings.zone)
        self._stopped = False
        self._stop_lock = threading.Lock()
        self._sockets = sockets or reserve(listen_addresses(settings))
        self._take_peer_sockets()
        self.connections = PeerConnections()
        self._build_platform(tables, objects)
        self._build_gate()
        self._build_ingress()
        self._build_control()
        self._build_membership()
        self._build_servers()

    # Construction.

    def _take_peer_sockets(self) -> None:
        self._gossip_socket = self._sockets.take("gossip")
        self.peer_address = self._gossip_socket.getsockname()[:2]
        self.peer_host_port = f"{self.peer_address[0]}:{self.peer_address[1]}"

    def _build_platform(
        self, tables: TableService | None, objects: ObjectStore | None
    ) -> None:
        url = self.settings.platform_url
        if tables is None and url:
            tables = HttpTableService(url)
        if objects is None and url:
            objects = HttpObjectStore(url)
        self._store = None
        self._contact_rows = None
        self.direct_keys: KeyService | None = None
        self.keys: KeyService | None = None
        if tables is not None and objects is not None:
            self._store = ConfigStore(tables, objects)
            self._contact_rows = ContactRows(tables, self.settings.zone)
            direct_executor = DirectKeyBatchExecutor(KeyStore(tables))
            self.direct_keys = KeyService(direct_executor)
            zone_executor = ZoneKeyBatchExecutor(
                self.direct_keys, self.connections, self.members.batcher
            )
            self.keys = KeyService(zone_executor, 0.0, 0.0)

    def _build_gate(self) -> None:
        limit: ConcurrencyLimit = AdaptiveLimit(1, INITIAL_LIMIT)
        if self.settings.limit_mode == "static":
            limit = StaticLimit(INITIAL_LIMIT)
        self.quarantine = Quarantine()
        self.ledger = AllowanceLedger()
        self.config = ConfigHolder(self._on_config)
        deps = GateDependencies(
            admission=AdmissionController(limit, INITIAL_LIMIT),
            ledger=self.ledger,
            tickets=TicketRegistry("", self.node_id, os.urandom(32), self.started_at),
            quarantine=self.quarantine,
            keys=self.keys,
            broadcast_mark=lambda mark: self.marks.broadcast(mark),
            catch_up=lambda source, version: self.sync.catch_up(source, version),
            config_version=lambda: self.config.version,
        )
        self.gate = Gate(deps, self.node_id, self.peer_host_port)

    def _build_ingress(self) -> None:
        self.fleet = NodeFleet(self.gate, self.connections, self.members.find)
        keyed = None
        if self.keys is not None:
            keyed = KeyedRequests(
                self.keys, self.fleet.key_status, self.node_id, self.peer_host_port
            )
        self.selector = Selector(self.settings.zone)
        self.levels = LevelTable()
        self.ingress = Ingress(
            IngressDependencies(
                tables=lambda: self.config.tables,
                fleet=self.fleet,
                selector=self.selector,
                ledger=self.ledger,
                ledger_lock=self.gate.lock,
                levels=self.levels,
                budget=RetryBudget(),
                quarantine=self.quarantine,
                keyed=keyed,
                rng=self.rng,
                source=self.peer_host_port,
                node_id=self.node_id,
                max_in_flight=max(2, self.settings.threads - RESERVED_THREADS),
            )
        )

    def _build_control(self) -> None:
        local = Member(
            self.node_id,
            self.settings.name,
            self.peer_address[0],
            self.peer_address[1],
            self.settings.zone,
            "",
        )
        self.sync = ConfigSync(
            self.config,
            self._store,
            self._pull_config,
            self.members.zone_members,
            self.node_id,
            self.settings.poll_period_s,
            self.rng,
        )
        callbacks = GossipCallbacks(
            self._on_members,
            self.sync.request_pull,
            self._on_mark,
            self.quarantine.digest,
            lambda count: self.quarantine.sample(time.monotonic(), count, self.rng),
        )
        self.gossip = Gossip(
            local, Random(self.rng.random()), self._gossip_socket, callbacks
        )

    def _build_membership(self) -> None:
        self.marks = MarkBroadcast(
            self.node_id, self.quarantine, self.members, self.connections, self.gossip
        )
        self.joining = Joining(
            self.node_id,
            self.peer_address,
            self.settings.contact_addresses,
            self._contact_rows,
            self.members,
            self.connections,
            self.gossip,
        )
        self.local_target = LocalTarget(
            self.gate,
            lambda: self.config.tables,
            self.gossip.set_pool,
            self.settings.max_body_bytes,
            self.settings.drain_timeout_s,
        )

    def _build_servers(self) -> None:
        settings = self.settings
        handler = PeerHandler(
            self.gate,
            self.direct_keys,
            self.config.log_since,
            self.members.all,
            self._on_mark,
        )
        self.body_budget = ByteBudget(body_budget_bytes(settings.memory_mb))
        self.peer_server = PeerServer(
            self._sockets.take("peer"),
            handler,
            self.body_budget,
            settings.max_connections,
        )
        limits = ServerLimits(
            settings.threads,
            settings.max_body_bytes,
            settings.idle_timeout_s,
            settings.max_connections,
        )
        self.watcher = DisconnectWatcher()
        self.router_server = CallerServer(
            self._sockets.take("router"),
            self.ingress,
            limits,
            self.watcher,
            budget=self.body_budget,
        )
        self.local_server = CallerServer(
            self._sockets.take("local"),
            self.ingress,
            limits,
            self.watcher,
            pool_name=lambda: self.local_target.pool_name,
            target_control=self.local_target.control,
            budget=self.body_budget,
        )
        self.admin = AdminServer(self._sockets.take("admin"), self)

    # Start and stop.

    def start(self) -> None:
        """Start all servers and background threads, without blocking."""
        self.peer_server.start()
        self.gossip.start()
        self.sync.start()
        self.watcher.start()
        self.router_server.start()
        self.local_server.start()
        self.admin.start()
        self.joining.start()
        log.info(
            "node_started",
            node=f"{self.node_id:x}",
            router=_format_address(self.router_server.address),
            local=_format_address(self.local_server.address),
            peer=self.peer_host_port,
            admin=_format_address(self.admin.address),
        )

    def stop(self) -> None:
        """Reject new requests, drain requests in flight and stop.

        Draining takes at most about ``drain_timeout_s``. Further calls do nothing.
        """
        with self._stop_lock:
            if self._stopped:
                return
            self._stopped = True
        self.joining.stop()
        deadline = time.monotonic() + self.settings.drain_timeout_s
        log.info("node_draining")
        self.gate.drain()
        self.gossip.leave()
        self.router_server.disable_keep_alive()
        self.local_server.disable_keep_alive()
        self._finish_requests()
        self.router_server.stop()
        self.local_server.stop()
        self.peer_server.stop(max(0.0, deadline - time.monotonic()))
        self.sync.stop()
        self.gossip.stop()
        self.watcher.stop()
        for service in (self.keys, self.direct_keys):
            if service is not None:
                service.stop()
        self.connections.close()
        self.admin.stop()
        log.info("node_stopped")

    def _finish_requests(self) -> None:
        """Finish what was taken, and give up what is left at the end."""
        shutdown = Shutdown(
            time.monotonic(), LEAVE_PROPAGATION_S, self.settings.drain_timeout_s
        )
        self.ingress.shutdown = shutdown
        # Peers may take a while to confirm that they have cancelled.
        giving_up = threading.Thread(target=self.watcher.cancel_all, daemon=True)
        while not shutdown.may_exit(time.monotonic(), self._unfinished_work()):
            time.sleep(IDLE_POLL_PERIOD_S)
            if shutdown.gives_up(time.monotonic()) and giving_up.ident is None:
                giving_up.start()

    def _unfinished_work(self) -> UnfinishedWork:
        requests = self.router_server.unanswered + self.local_server.unanswered
        return UnfinishedWork(bool(self.gate.deps.admission.in_flight), requests, 0)

    # Operator interface.

    def state(self) -> NodeState:
        """Return the present state."""
        now = time.monotonic()
        tables = self.config.tables
        return NodeState(
            name=self.settings.name,
            node_id=self.node_id,
            zone=self.settings.zone,
            uptime_s=now - self.started_at,
            peer=self.peer_host_port,
            router=self.router_server.address,
            local=self.local_server.address,
            config_version=self.config.version,
            routes=len(tables.routes),
            pools=len(tables.pools),
            gate=describe_gate(self.gate, now),
            ingress=describe_ingress(self.ingress, now),
            members=self.members.all(),
            marked=len(self.quarantine),
        )

    def health(self) -> NodeHealth:
        """Report whether the node can serve requests."""
        draining = self.gate.deps.admission.draining
        return NodeHealth(self.config.version > 0 and not draining, draining)

    def gossip_traffic(self) -> GossipTraffic:
        """Return what gossip has sent since the start."""
        return GossipTraffic(*self.gossip.traffic())

    def quarantine_statuses(self) -> dict[str, str]:
        """Return the status of each suspect or quarantined request by fingerprint."""
        return self.quarantine.statuses(time.monotonic())

    def drain(self) -> None:
        """Refuse new attempts for the local target; running ones finish."""
        self.gate.drain()

    def release_quarantine(self, request: str) -> bool:
        """Release a request from quarantine on all nodes.

        Args:
            request: Fingerprint of the request.

        Returns:
            Whether the request was marked on this node.
        """
        return self.marks.release(request)

    # Membership and configuration.

    def _on_members(self, members: Mapping[int, Member]) -> None:
        self.members.replace(members)
        with self.ingress.lock:
            for pool, candidates in self._candidates(members).items():
                self.selector.sync(pool, candidates)
        for member in members.values():
            if member.state >= MemberState.DEAD:
                self.connections.close_idle(member.address)

    def _candidates(
        self, members: Mapping[int, Member]
    ) -> dict[str, list[tuple[int, str]]]:
        """Return the node and zone of each target that may be alive, by pool."""
        by_pool: dict[str, list[tuple[int, str]]] = {
            pool.name: [] for pool in self.config.tables.pools
        }
        for member in members.values():
            if member.pool and member.state <= MemberState.SUSPECT:
                candidate = (member.node_id, member.zone)
                by_pool.setdefault(member.pool, []).append(candidate)
        return by_pool

    def _on_mark(self, mark: Mark) -> bool:
        return self.quarantine.add(time.monotonic(), mark)

    def _on_config(self, tables: Tables) -> None:
        self.gossip.set_config_version(tables.version)
        log.info("config_in_force", version=tables.version)
        self.local_target.follow(tables)

    def _pull_config(self, address: tuple[str, int], version: int) -> LogSlice:
        wire = self.connections.run(
            address, PULL_TIMEOUT_S, lambda client: client.pull_config(version)
        )
        return LogSlice(wire.base, tuple(wire.edits), wire.snapshot, wire.version)


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
