"""The deployment under a soak test: node processes, targets and a store.

Faulty proxies stand between a node and its target and between a node and the store.
"""

__all__ = [
    "CONFIG_BOUND_S",
    "DRAIN_BOUND_S",
    "GRACE_PERIOD_S",
    "SimulatedVM",
    "SoakFleet",
]

import asyncio
import os
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import Awaitable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from .mesh_standin import StoreStandIn, TargetMode, TargetStandIn
from .processstate import handles_signal
from .proxy import FaultyProxy
from .settingsfile import (
    PORTS_PER_NODE,
    config_document,
    free_ports,
    route_entry,
    write_settings,
)
from .soakaccounts import SoakAccounts, account_bounds
from .soakchecks import SoakHistory
from .starvation import SAMPLE_PERIOD_S, StarvationWatch

Address = tuple[str, int]

POOLS = ("shop", "shop", "shop", "stock", "stock", "stock")
DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0
GRACE_PERIOD_S = 6.0
HEARTBEAT_INTERVAL_S = 0.5


@dataclass
class SimulatedVM:
    """One VM: a node process, its target, and the proxies to target and store."""

    index: int
    host: str
    ports: dict[str, Address]
    target: TargetStandIn
    target_proxy: FaultyProxy
    store_proxy: FaultyProxy
    settings: Path
    process: Process | None = None
    predecessors: list[Process] = field(default_factory=list)
    exit_codes: dict[int, set[int]] = field(default_factory=dict)
    lifetime: int = 0
    accepted_state: tuple[int, str, str] = (0, "", "")
    heartbeats: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Report whether the node's process is running."""
        return self.process is not None and self.process.returncode is None

    @property
    def processes(self) -> list[Process]:
        """Return the node's processes that run, in order of their start."""
        all_processes = [*self.predecessors, *filter(None, [self.process])]
        return [item for item in all_processes if item.returncode is None]

    @property
    def serving_lifetime(self) -> int:
        """Return the number of the process that listens, of several that run."""
        return self.lifetime - max(len(self.processes) - 1, 0)

    @property
    def listen_addresses(self) -> list[Address]:
        """Return the addresses that the node listens on, that for peers last."""
        host, port = self.ports["control"]
        named = [self.ports[name] for name in ("outbound", "ready", "control")]
        return [*named, (host, port + 1)]

    def expect_exit(self, signum: int) -> None:
        """Expect the process to end by a signal that it is about to get.

        The signal itself may end a process that does not handle the first one yet.
        """
        assert self.process is not None
        codes = self.exit_codes[self.process.pid]
        if not codes and not handles_signal(self.process.pid, signum):
            codes.add(-signum)
        codes.add(0 if signum == signal.SIGTERM else -signum)


@dataclass
class SoakFleet:
    """Store, targets, nodes and proxies of a soak test.

    Args:
        seed: Seed of the run; it also selects the loopback addresses.
        folder: Folder for settings files and logs.
    """

    seed: int
    folder: Path
    rng: Random = field(init=False)
    history: SoakHistory = field(default_factory=SoakHistory)
    accounts: SoakAccounts = field(default_factory=SoakAccounts)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    vms: list[SimulatedVM] = field(default_factory=list)
    version: int = 1
    extra_routes: int = 0
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    logs: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)

    def now(self) -> float:
        """Return the monotonic time of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(self, job: Awaitable[None]) -> asyncio.Task[None]:
        """Start a task that is cancelled at the end of the soak test."""
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Deployment.

    def current_config(self) -> bytes:
        """Return the configuration.

        The route ``moving`` goes to pool shop in odd versions, to stock in even ones.
        Of the routes, ``order`` and ``keyed`` need the key of an account.
        """
        pool = "shop" if self.version % 2 else "stock"
        routes = [
            route_entry("read", "shop", "/read/", "idempotent", 1, public=True),
            route_entry("order", "shop", "/order/", "non_idempotent", 0),
            route_entry("stock", "stock", "/stock/", "idempotent", 1, public=True),
            route_entry("moving", pool, "/moving/", "idempotent", 1, public=True),
            route_entry("keyed", "shop", "/keyed/", "idempotent", 1),
        ]
        for name in ("shop", "stock"):
            prefix = f"/long-{name}/"
            routes.append(
                route_entry(
                    f"long-{name}",
                    name,
                    prefix,
                    "idempotent",
                    1,
                    public=True,
                    timeout="6000ms",
                )
            )
        for number in range(self.extra_routes):
            prefix = f"/extra-{number}/"
            routes.append(
                route_entry(f"extra-{number}", "shop", prefix, "idempotent", 1)
            )
        return config_document(self.version, [*routes, *self.accounts.entries()])

    async def start(self) -> None:
        """Start the store, then all targets and nodes."""
        await self.store.start()
        await self.store.put("op", "config", self.current_config())
        base = free_ports(PORTS_PER_NODE)
        for index, pool in enumerate(POOLS):
            self.vms.append(await self._create_vm(index, pool, base))
        for vm in self.vms:
            await self.start_node(vm)
            vm.heartbeats = self.spawn(self._send_heartbeats(vm))

    async def _create_vm(self, index: int, pool: str, base: int) -> SimulatedVM:
        host = f"127.{1 + self.seed % 200}.0.{index + 1}"
        target = TargetStandIn(pool, slots=8, target_id=f"t{index}-0")
        target.mode = TargetMode(work_s=0.02)
        await target.start(host)
        target_proxy = FaultyProxy(target.address)
        store_proxy = FaultyProxy(self.store.address)
        settings = self.folder / f"node-{index}.json"
        target.address = await target_proxy.start(host)
        store = await store_proxy.start(host)
        ports = write_settings(
            settings,
            index,
            host,
            base,
            target.address,
            pool,
            store,
            heartbeat=f"{HEARTBEAT_INTERVAL_S}s",
            bounds=[
                f"drain={DRAIN_BOUND_S}s",
                f"config={CONFIG_BOUND_S}s",
                f"grace={GRACE_PERIOD_S}s",
                "budget_ratio=0.2",
                "budget_extra=48",
                *account_bounds(),
            ],
        )
        vm = SimulatedVM(
            index,
            host,
            ports,
            target,
            target_proxy,
            store_proxy,
            settings,
        )
        target.heartbeat_address = ports["control"]
        target.caller_address = ports["outbound"]
        self.history.pools[target.target_id] = pool
        return vm

    async def start_node(self, vm: SimulatedVM) -> None:
        """Start the node's process; its output is appended to a log in the folder."""
        log = open(self.folder / f"node-{vm.index}.log", "ab")  # noqa: SIM115
        self.logs.append(log)
        vm.predecessors = vm.processes
        vm.process = None
        vm.lifetime += 1
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dogwooddock.platform",
            stdout=log,
            stderr=log,
            env={**os.environ, "DOGWOODDOCK_NODE_FILE": str(vm.settings)},
        )
        vm.exit_codes[process.pid] = set()
        vm.process = process
        self.spawn(self._watch_exit(vm, process))

    async def _watch_exit(self, vm: SimulatedVM, process: Process) -> None:
        """Note a process that ends by itself, or with an error after a signal."""
        code = await process.wait()
        if code not in vm.exit_codes[process.pid]:
            self.history.notes.append(
                f"a process of node-{vm.index} ended with code {code} "
                f"at {self.now():.2f}"
            )

    async def check_nodes(self) -> None:
        """Note each node that does not run, or does not listen, at the end."""
        for vm in self.vms:
            if not vm.running:
                self.history.notes.append(f"node-{vm.index} does not run at the end")
            for address in vm.listen_addresses:
                try:
                    _, writer = await asyncio.open_connection(*address)
                except OSError as exc:
                    self.history.notes.append(
                        f"node-{vm.index} does not listen on {address}: {exc}"
                    )
                else:
                    writer.close()

    async def watch_starvation(self) -> None:
        """Record nodes that the machine keeps from running, until cancelled."""
        watch = StarvationWatch(self.now())
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            running = {process.pid: vm for vm in self.vms for process in vm.processes}
            for pid in watch.sample(self.now(), set(running)):
                self.history.record_starvation(running[pid].index, self.now())

    async def _send_heartbeats(self, vm: SimulatedVM) -> None:
        while True:
            target = vm.target
            if target.state != "gone":
                await self._send_heartbeat(vm, target)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self, vm: SimulatedVM, target: TargetStandIn) -> None:
        try:
            async with asyncio.timeout(1.0):
                status = await target.send_heartbeat()
        except OSError:
            return
        state = (vm.serving_lifetime, target.target_id, target.state)
        if status == 200 and state != vm.accepted_state:
            vm.accepted_state = state
            self.history.membership_changes.append(self.now())
        if status == 200 and target.state == "draining":
            self.history.record_drain_ack(target.target_id, self.now())
