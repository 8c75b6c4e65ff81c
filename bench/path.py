"""Cost of calls through a node: added latency, throughput, CPU time and memory."""

import asyncio
import socket
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .checks import percentile, print_table
from .deployments import Deployment, Service, Traffic
from .fleet import Fleet, NodeProcess
from .load import LoadGenerator, RouterPolicy, plan_arrivals
from .results import save_results
from .target_standin import Behaviour

CALLS_PER_S = 150
ROUNDS = 1500
WARM_UP_ROUNDS = 300
SATURATION_S = 5.0
SATURATION_CLIENTS = 16

ONE_POOL = Deployment(
    name="path",
    zones=("zone-a", "zone-b"),
    services=(Service("catalog", 2, 1000, 1000),),
    paths={"/catalog/browse": Behaviour(0.0)},
    traffic=(Traffic("browsing", "shops", "GET", "/catalog/browse", 150, 2, 1),),
    timeouts={"browsing": 2.0},
)


class EchoServer:
    """Echo server on loopback, for the lowest latency that the machine allows.

    It serves one connection.
    """

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        conn, _ = self._listener.accept()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while data := conn.recv(65536):
            conn.sendall(data)


@dataclass
class RawClient:
    """Keep-alive HTTP/1.1 client on a raw socket, which adds little time of its own.

    Args:
        address: Address to connect to.
    """

    address: tuple[str, int]

    def __post_init__(self) -> None:
        self.sock = socket.create_connection(self.address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def exchange(self, request: bytes) -> float:
        """Send a request, read the whole response and return the time in seconds."""
        started = time.perf_counter()
        self.sock.sendall(request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._recv()
        head, _, body = data.partition(b"\r\n\r\n")
        lower_head = head.lower()
        length_at = lower_head.index(b"content-length:") + 15
        length = int(lower_head[length_at:].split(b"\r\n", 1)[0])
        size = len(body)
        while size < length:
            size += len(self._recv())
        return time.perf_counter() - started

    def echo(self, data: bytes) -> float:
        """Send bytes, read as many back and return the time in seconds."""
        started = time.perf_counter()
        self.sock.sendall(data)
        remaining = len(data)
        while remaining:
            remaining -= len(self._recv())
        return time.perf_counter() - started

    def _recv(self) -> bytes:
        chunk = self.sock.recv(65536)
        if not chunk:
            raise ConnectionError("closed by the peer")
        return chunk


def _request(address: str) -> bytes:
    return (
        "GET /catalog/browse HTTP/1.1\r\n"
        f"Host: {address}\r\nDogwooddock-Caller: shops\r\nX-Request-Id: bench\r\n\r\n"
    ).encode()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def measure_latency(fleet: Fleet) -> list[dict[str, Any]]:
    """Measure direct, local and remote calls and an echo, interleaved at one rate."""
    local_node, remote_node = fleet.nodes[0], fleet.nodes[1]
    target = fleet.hosts["catalog"].targets[local_node.name]
    _remove_other_target(fleet, local_node)
    echo = EchoServer()
    payload = b"x" * 600
    clients = {
        "direct": RawClient(_parse_address(target)),
        "local": RawClient(_parse_address(local_node.router)),
        "remote": RawClient(_parse_address(remote_node.router)),
    }
    echo_client = RawClient(echo.address)
    samples: dict[str, list[float]] = {name: [] for name in (*clients, "echo")}
    period = 1.0 / CALLS_PER_S
    send_at = time.perf_counter()
    for index in range(WARM_UP_ROUNDS + ROUNDS):
        for name, client in clients.items():
            send_at += period
            time.sleep(max(0.0, send_at - time.perf_counter()))
            seconds = client.exchange(_request("bench"))
            if index >= WARM_UP_ROUNDS:
                samples[name].append(seconds)
        if index >= WARM_UP_ROUNDS:
            samples["echo"].append(echo_client.echo(payload))
    return [_latency_row(name, samples) for name in ("echo", *clients)]


def _remove_other_target(fleet: Fleet, local_node: NodeProcess) -> None:
    remote_node = next(node for node in fleet.nodes if node is not local_node)
    fleet.hosts["catalog"].command(name=remote_node.name, action="leave")
    time.sleep(1.5)


def _latency_row(name: str, samples: dict[str, list[float]]) -> dict[str, Any]:
    values = [value * 1000 for value in samples[name]]
    direct = [value * 1000 for value in samples["direct"]]
    added = name in ("local", "remote")
    row = {
        "path": name,
        "p50_ms": round(percentile(values, 0.5), 3),
        "p90_ms": round(percentile(values, 0.9), 3),
        "p99_ms": round(percentile(values, 0.99), 3),
        "added_p50_ms": "",
        "added_p99_ms": "",
    }
    if added:
        for quantile, key in ((0.5, "added_p50_ms"), (0.99, "added_p99_ms")):
            added_ms = percentile(values, quantile) - percentile(direct, quantile)
            row[key] = round(added_ms, 3)
    return row


def measure_cpu(fleet: Fleet) -> dict[str, Any]:
    """Measure a node's CPU time per call at the load that a node has at full size.

    The CPU time of an idle node is subtracted.
    """
    local_node = fleet.nodes[0]
    before = fleet.state(local_node)["process"]["cpu_s"]
    idle_since = time.monotonic()
    time.sleep(3.0)
    idle = fleet.state(local_node)["process"]["cpu_s"] - before
    idle_share = idle / (time.monotonic() - idle_since)
    arrivals = plan_arrivals(ONE_POOL.traffic, 8.0, lambda _: 1.0, 3)
    load = LoadGenerator(ONE_POOL, lambda: [local_node.router], RouterPolicy(), 3)
    before = fleet.state(local_node)["process"]["cpu_s"]
    started = time.monotonic()
    asyncio.run(load.run(arrivals, []))
    cpu_s = fleet.state(local_node)["process"]["cpu_s"] - before
    cpu_s -= idle_share * (time.monotonic() - started)
    return {
        "calls": len(arrivals),
        "cpu_us_per_call": round(cpu_s / len(arrivals) * 1e6, 1),
        "idle_cpu_percent": round(idle_share * 100, 2),
        "rss_mb": round(fleet.state(local_node)["process"]["max_rss_kb"] / 1024, 1),
    }


def measure_saturation(fleet: Fleet) -> dict[str, Any]:
    """Measure the highest rate of calls through one node, with closed-loop clients."""
    local_node = fleet.nodes[0]
    counts = [0] * SATURATION_CLIENTS
    deadline = time.monotonic() + SATURATION_S

    def run(index: int) -> None:
        client = RawClient(_parse_address(local_node.router))
        while time.monotonic() < deadline:
            client.exchange(_request("bench"))
            counts[index] += 1

    threads = [
        threading.Thread(target=run, args=(index,))
        for index in range(SATURATION_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return {"calls_per_s": round(sum(counts) / SATURATION_S)}


def main() -> dict[str, Any]:
    """Run the benchmark, print its tables and save the results."""
    with TemporaryDirectory(prefix="dogwooddock-path-") as folder:
        tables = Path(folder) / "tables"
        _write_tables(tables)
        deployment = ONE_POOL
        with _OnePoolFleet(deployment, Path(folder), tables) as fleet:
            latency = measure_latency(fleet)
            cpu = measure_cpu(fleet)
            saturation = measure_saturation(fleet)
    print_table(latency)
    print_table([{**cpu, **saturation}])
    document = {"latency": latency, "cpu": cpu, "saturation": saturation}
    save_results("path", document)
    return document


class _OnePoolFleet(Fleet):
    def __init__(self, deployment: Deployment, folder: Path, tables: Path):
        super().__init__(deployment, folder, node_options=("--log-level", "info"))
        self._tables = tables

    @property
    def tables_folder(self) -> Path:
        """Folder with the tables of this benchmark."""
        return self._tables


def _write_tables(folder: Path) -> None:
    folder.mkdir()
    (folder / "pools.toml").write_text(
        '[[pool]]\nname = "catalog"\nservice = "catalog"\n'
        "slots = 1000\nconnections = 1000\nmin_limit = 32\n"
    )
    (folder / "routes.toml").write_text(
        '[[route]]\nname = "browse"\ncaller = "shops"\nmethod = "GET"\n'
        'path = "/catalog/browse"\npool = "catalog"\nkind = "browsing"\n'
        "importance = 2\nidempotent = true\ntimeout_ms = 2000\n"
    )
