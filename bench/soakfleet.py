"""The deployment that a soak plays on: nodes as processes, behind proxies."""

__all__ = ["CONFIG_S", "DRAIN_S", "GRACE_S", "Place", "SoakFleet"]

import asyncio
import os
import sys
from collections.abc import Awaitable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from .mesh_standin import StoreStandIn, TargetMode, TargetStandIn
from .proxy import FaultyProxy
from .settingsfile import (
    PORTS_PER_NODE,
    free_ports,
    mesh_document,
    mesh_route,
    write_settings,
)
from .soakjudge import SoakHistory

Address = tuple[str, int]

POOLS = ("shop", "shop", "shop", "stock", "stock", "stock")
DRAIN_S = 2.0
CONFIG_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 0.5


@dataclass
class Place:
    """One VM: a node as a process, its target, and the proxies around it."""

    index: int
    host: str
    ports: dict[str, Address]
    target: TargetStandIn
    target_proxy: FaultyProxy
    store_proxy: FaultyProxy
    settings: Path
    process: asyncio.subprocess.Process | None = None
    wanted: bool = True
    lifetime: int = 0
    heartbeats: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Report whether the node's process runs."""
        return self.process is not None and self.process.returncode is None


@dataclass
class SoakFleet:
    """Store, targets, nodes and the proxies around them.

    Args:
        seed: Seed of the run.
        folder: Where settings and logs go.
    """

    seed: int
    folder: Path
    rng: Random = field(init=False)
    history: SoakHistory = field(default_factory=SoakHistory)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    places: list[Place] = field(default_factory=list)
    version: int = 1
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    logs: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)

    def now(self) -> float:
        """Return the loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(self, job: Awaitable[None]) -> asyncio.Task[None]:
        """Run a job until it ends or the soak does."""
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Deployment.

    def document(self) -> bytes:
        """Return the present configuration; odd versions send a route elsewhere."""
        pool = "shop" if self.version % 2 else "stock"
        routes = [
            mesh_route("read", "shop", "/read/", "idempotent", 1),
            mesh_route("order", "shop", "/order/", "non_idempotent", 0),
            mesh_route("stock", "stock", "/stock/", "idempotent", 1),
            mesh_route("moving", pool, "/moving/", "idempotent", 1),
        ]
        return mesh_document(self.version, routes)

    async def start(self) -> None:
        """Start store, targets and nodes."""
        await self.store.start()
        await self.store.put("op", "config", self.document())
        base = free_ports(PORTS_PER_NODE)
        for index, pool in enumerate(POOLS):
            self.places.append(await self._place(index, pool, base))
        for place in self.places:
            await self.start_node(place)
            place.heartbeats = self.spawn(self._check_in(place))

    async def _place(self, index: int, pool: str, base: int) -> Place:
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
            heartbeat=f"{HEARTBEAT_S}s",
            bounds=[
                f"drain={DRAIN_S}s",
                f"config={CONFIG_S}s",
                f"grace={GRACE_S}s",
                "budget_ratio=0.2",
                "budget_extra=48",
            ],
        )
        place = Place(
            index,
            host,
            ports,
            target,
            target_proxy,
            store_proxy,
            settings,
        )
        target.checkin_address = ports["control"]
        target.caller_address = ports["outbound"]
        self.history.pools[target.target_id] = pool
        return place

    async def start_node(self, place: Place) -> None:
        """Start the node's process."""
        log = open(self.folder / f"node-{place.index}.log", "ab")  # noqa: SIM115
        self.logs.append(log)
        place.lifetime += 1
        place.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dogwooddock.platform",
            stdout=log,
            stderr=log,
            env={**os.environ, "DOGWOODDOCK_NODE_FILE": str(place.settings)},
        )

    async def _check_in(self, place: Place) -> None:
        while True:
            target = place.target
            if target.state != "gone":
                await self._send_heartbeat(place, target)
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self, place: Place, target: TargetStandIn) -> None:
        try:
            async with asyncio.timeout(1.0):
                status = await target.check_in()
        except OSError:
            return
        if status == 200 and target.state == "draining":
            self.history.note_drained(target.target_id, self.now())
