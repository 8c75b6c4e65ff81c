"""Cost of the request path on the users' platform.

It measures added latency, CPU time, memory and calls to the store.
"""

__all__ = ["main"]

import asyncio
import os
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .checks import percentile, print_table
from .mesh_standin import StoreStandIn, TargetStandIn
from .path import EchoServer, RawClient
from .results import save_results
from .settingsfile import config_document, free_ports, route_entry, write_settings

CALLS_PER_S = 150
ROUNDS = 1500
WARM_UP_ROUNDS = 300
IDLE_DURATION_S = 10.0
SATURATION_CALLS = 4000
HEARTBEAT_INTERVAL_S = 1.5
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

Address = tuple[str, int]


@dataclass
class _Node:
    process: subprocess.Popen[bytes]
    caller_address: Address

    @property
    def cpu_s(self) -> float:
        """Return the CPU time that the process has used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / CLOCK_TICKS

    @property
    def peak_mb(self) -> float:
        """Return the peak resident memory of the process, in MiB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0


class _StandIns:
    """Stand-ins of store and targets, on an event loop in a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.store = StoreStandIn()
        self.targets = [TargetStandIn("shop", 64, f"t-{n}") for n in range(2)]

    def run(self, job: Any) -> Any:
        """Run a coroutine on the loop of the thread and return its result."""
        future: Future[Any] = asyncio.run_coroutine_threadsafe(job, self.loop)
        return future.result(30)

    async def start(self) -> None:
        """Start store and targets, and store a configuration with one route."""
        await self.store.start()
        routes = [route_entry("read", "shop", "/read/", "idempotent", 1)]
        await self.store.put("op", "config", config_document(1, routes))
        for number, target in enumerate(self.targets):
            await target.start(f"127.0.0.{number + 1}")

    async def send_heartbeats(self) -> None:
        """Send the targets' heartbeats at regular intervals, without end."""
        while True:
            for target in self.targets:
                try:
                    await target.send_heartbeat()
                except OSError:
                    pass
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


@contextmanager
def _running_deployment(folder: Path) -> Iterator[tuple[_StandIns, list[_Node]]]:
    stand_ins = _StandIns()
    stand_ins.run(stand_ins.start())
    base = free_ports(8)
    nodes = []
    for number, target in enumerate(stand_ins.targets):
        host = f"127.0.0.{number + 1}"
        path = folder / f"node-{number}.json"
        ports = write_settings(
            path, number, host, base, target.address, "shop", stand_ins.store.address
        )
        target.heartbeat_address = ports["control"]
        command = [sys.executable, "-m", "dogwooddock.platform"]
        environment = {**os.environ, "DOGWOODDOCK_NODE_FILE": str(path)}
        process = subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL)
        nodes.append(_Node(process, ports["outbound"]))
    asyncio.run_coroutine_threadsafe(stand_ins.send_heartbeats(), stand_ins.loop)
    try:
        time.sleep(2.5)
        yield stand_ins, nodes
    finally:
        for node in nodes:
            node.process.terminate()
        for node in nodes:
            node.process.wait(10)


def _request(number: int) -> bytes:
    return (
        "GET /read/1 HTTP/1.1\r\nHost: app.example\r\nUser-Agent: bench\r\n"
        f"Accept: */*\r\nDogwooddock-Request-Id: bench{number:08x}\r\n"
        "Dogwooddock-Expect-Instance: t-0\r\nDogwooddock-Deadline-Ms: 1500\r\n\r\n"
    ).encode()


def _measure_latency(stand_ins: _StandIns, nodes: list[_Node]) -> list[dict[str, Any]]:
    """Measure direct, local and remote calls and a raw echo at a fixed rate."""
    stand_ins.run(stand_ins.targets[1].send_heartbeat("draining"))
    time.sleep(0.5)
    echo = EchoServer()
    clients = {
        "direct": RawClient(stand_ins.targets[0].address),
        "local": RawClient(nodes[0].caller_address),
        "remote": RawClient(nodes[1].caller_address),
    }
    echo_client = RawClient(echo.address)
    samples: dict[str, list[float]] = {name: [] for name in (*clients, "echo")}
    at = time.perf_counter()
    number = 0
    for index in range(WARM_UP_ROUNDS + ROUNDS):
        for name, client in clients.items():
            number += 1
            seconds = client.exchange(_request(number))
            if index >= WARM_UP_ROUNDS:
                samples[name].append(seconds)
        seconds = echo_client.echo(b"x" * 600)
        if index >= WARM_UP_ROUNDS:
            samples["echo"].append(seconds)
        at += 1.0 / CALLS_PER_S
        time.sleep(max(0.0, at - time.perf_counter()))
    direct = samples["direct"]
    return [
        {
            "way": name,
            "p50_us": round(percentile(values, 0.5) * 1e6),
            "p99_us": round(percentile(values, 0.99) * 1e6),
            "added_p50_us": round(
                (percentile(values, 0.5) - percentile(direct, 0.5)) * 1e6
            ),
            "added_p99_us": round(
                (percentile(values, 0.99) - percentile(direct, 0.99)) * 1e6
            ),
        }
        for name, values in samples.items()
    ]


def _measure_cost(stand_ins: _StandIns, nodes: list[_Node]) -> dict[str, Any]:
    """Return CPU time per call and when idle, peak memory, and store calls."""
    before = [node.cpu_s for node in nodes]
    calls_before = sum(stand_ins.store.calls.values())
    time.sleep(IDLE_DURATION_S)
    idle = [node.cpu_s - earlier for node, earlier in zip(nodes, before, strict=True)]
    store_calls = sum(stand_ins.store.calls.values()) - calls_before
    client = RawClient(nodes[1].caller_address)
    before = [node.cpu_s for node in nodes]
    for number in range(SATURATION_CALLS):
        client.exchange(_request(1_000_000 + number))
    used = [node.cpu_s - earlier for node, earlier in zip(nodes, before, strict=True)]
    return {
        "gate_us_per_call": round(used[0] / SATURATION_CALLS * 1e6),
        "ingress_us_per_call": round(used[1] / SATURATION_CALLS * 1e6),
        "idle_core_share": round(max(idle) / IDLE_DURATION_S, 4),
        "peak_mb": round(max(node.peak_mb for node in nodes), 1),
        "store_calls_per_node_minute": round(
            store_calls / len(nodes) * 60 / IDLE_DURATION_S, 1
        ),
    }


def main() -> None:
    """Run the measurements, print them and save them as JSON."""
    with (
        TemporaryDirectory() as name,
        _running_deployment(Path(name)) as (stand_ins, nodes),
    ):
        rows = _measure_latency(stand_ins, nodes)
        cost = _measure_cost(stand_ins, nodes)
    print_table(rows)
    for key, value in cost.items():
        print(f"{key}: {value}")
    save_results("mesh", {"latency": rows, "cost": cost})


if __name__ == "__main__":
    main()
