"""Planned work and faulty writers that a soak test draws beside its other faults."""

__all__ = ["SoakPlannedWork"]

import asyncio
import json
from dataclasses import dataclass, field, replace
from random import Random

from dogwooddock.http1.client import ClientConnection, ConnectionPool
from dogwooddock.http1.messages import Response, render_request

from .mesh_standin import LARGE_ANSWER, TargetMode
from .soakchecks import ClientRequest
from .soakclients import SlowReader, exchange_in_time, open_connection
from .soakfaults import SoakFaults
from .soakfleet import SimulatedVM

INTERVAL_S = 2.0
# Beyond the time in which a stopping node exits.
LONG_RUN_S = 5.7
LONG_DEADLINE_MS = 6000
LONG_RUNS = 6
BUSY_WORK_S = 0.9
PRESS_INTERVAL_S = 0.1
PRESS_DEADLINE_MS = 1500
VISIT_INTERVAL_S = 0.5
# Beyond the deadline of a request until its client gives up.
MAX_ANSWER_DELAY_S = 4.0
USUAL_WORK_S = 0.02
REFUSING_S = 1.0
# More than a target counts in a run.
AHEAD_SEQUENCE = 1_000_000


@dataclass
class SoakPlannedWork(SoakFaults):
    """A fleet whose nodes stop beside busy targets, and whose targets misbehave.

    One kind of work sets the targets' modes at a time.
    """

    modes_in_use: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def plan_work(self) -> None:
        """Start a random kind of work at random intervals, until cancelled."""
        rng = Random(f"planned work {self.seed}")
        kinds = [
            self._stop_beside_busy_target,
            self._refuse_twice,
            self._check_in_oddly,
        ]
        while True:
            await asyncio.sleep(INTERVAL_S * rng.uniform(0.2, 1.0))
            kind, vm = rng.choice(kinds), rng.choice(self.vms)
            if kind != self._check_in_oddly and self.modes_in_use.locked():
                continue
            name = kind.__name__.strip("_")
            self.faults.append(f"{self.now():.2f} {name} node-{vm.index}")
            self.spawn(kind(vm))

    def _set_modes(self, mode: TargetMode) -> None:
        for vm in self.vms:
            vm.target.mode = replace(mode)

    async def _stop_beside_busy_target(self, vm: SimulatedVM) -> None:
        """Stop a node whose target runs long requests; its clients go on."""
        async with self.modes_in_use:
            if not vm.running or len(vm.processes) > 1:
                return
            path = f"/long-{vm.target.pool}/1"
            self._set_modes(TargetMode(BUSY_WORK_S, work_by_path=((path, LONG_RUN_S),)))
            sender = self.vms[(vm.index + 1) % len(self.vms)]
            for _ in range(LONG_RUNS):
                self.spawn(self._send_once(sender, path, LONG_DEADLINE_MS))
            await asyncio.sleep(USUAL_WORK_S)
            self.history.record_planned_stop(vm.index, self.now())
            pressing = self.spawn(self._press(vm))
            await self._stop_node(vm)
            pressing.cancel()
            self._set_modes(TargetMode(USUAL_WORK_S))

    async def _press(self, vm: SimulatedVM) -> None:
        """Send requests that do not wait for each other, until cancelled."""
        while True:
            await asyncio.sleep(PRESS_INTERVAL_S)
            for path in ("/read/1", "/stock/1"):
                self.spawn(self._send_once(vm, path, PRESS_DEADLINE_MS))

    async def visit(self, vm: SimulatedVM, kind: type[ClientConnection]) -> None:
        """Send requests on connections of a kind, until cancelled."""
        rng = Random(f"{kind.__name__} {vm.index} {self.seed}")
        while True:
            await asyncio.sleep(VISIT_INTERVAL_S * rng.uniform(0.5, 1.5))
            path = rng.choice(("/read/1", "/stock/1"))
            self.spawn(self._send_once(vm, path, PRESS_DEADLINE_MS, kind))

    async def _send_once(
        self,
        vm: SimulatedVM,
        path: str,
        deadline_ms: int,
        kind: type[ClientConnection] = ClientConnection,
    ) -> None:
        """Send a request on a connection of its own."""
        request_id = f"{self.seed:x}P{len(self.history.requests)}"
        if kind is SlowReader:
            request_id += LARGE_ANSWER
        request = ClientRequest(
            request_id,
            path.split("/")[1],
            vm.index,
            vm.lifetime,
            self.now(),
            owed=False,
        )
        self.history.requests[request_id] = request
        block = (
            f"Host: app.example\r\nDogwooddock-Request-Id: {request_id}\r\n"
            f"Dogwooddock-Deadline-Ms: {deadline_ms}\r\n"
        ).encode()
        try:
            conn = await open_connection(kind, vm.ports["outbound"])
        except OSError:
            return
        data = render_request(b"GET", path.encode(), block, b"")
        limit_s = deadline_ms / 1000 + MAX_ANSWER_DELAY_S
        result = await exchange_in_time(conn, data, limit_s)
        request.record(result, self.now())
        conn.close()

    async def _refuse_twice(self, vm: SimulatedVM) -> None:
        """Let targets refuse each request once, with a second copy of the refusal."""
        async with self.modes_in_use:
            self._set_modes(TargetMode(USUAL_WORK_S, refusals=1, refuses_twice=True))
            await asyncio.sleep(REFUSING_S)
            self._set_modes(TargetMode(USUAL_WORK_S))

    async def _check_in_oddly(self, vm: SimulatedVM) -> None:
        """Send a heartbeat of another writer, which lacks a field and is far ahead."""
        target = vm.target
        body = {
            "service": target.pool,
            "address": f"{target.address[0]}:{target.address[1]}",
            "zone": "zone-a",
            "version": "v1",
            "slots": target.slots,
            "state": "ready",
            "cold_left": "0ms",
            "seq": AHEAD_SEQUENCE,
        }
        path = f"/rpc?call=instances.heartbeat&of={target.target_id}".encode()
        data = json.dumps(body).encode()
        try:
            conn = await ConnectionPool(target.heartbeat_address).open()
        except OSError:
            return
        result = await conn.exchange(
            render_request(b"POST", path, b"Host: node\r\n", data)
        )
        conn.close()
        if isinstance(result, Response) and result.status == 200:
            self.history.notes.append(
                f"node-{vm.index} acknowledged an incomplete heartbeat"
            )
