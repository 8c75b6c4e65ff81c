"""Peak memory of nodes whose callers stall uploads, or don't read large answers.

``python -m bench.heldbytes [--scale N] [--play uploads|answers]`` runs two nodes:
callers use the first, and the target of large bodies is that of the second. Beside the
load, a caller sends small requests at a fixed rate.
"""

__all__ = ["main"]

import argparse
import asyncio
import json
import os
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .checks import percentile
from .mesh_standin import StoreStandIn, TargetMode, TargetStandIn
from .results import save_results
from .settingsfile import config_document, free_ports, route_entry, write_settings

UPLOADS = 120
SILENT_CALLERS = 300
LARGE_BYTES = 2_000_000
STALLED_BYTES = 100_000
MAX_BODY_BYTES = 4_000_000
HEADER_TIMEOUT = "3s"
PLAY_S = 7.0
START_S = 6.0
SMALL_PERIOD_S = 0.02
SMALL_TIMEOUT_S = 8.0
HEARTBEAT_INTERVAL_S = 1.0
PORTS = 8

Address = tuple[str, int]


@dataclass
class _Node:
    process: asyncio.subprocess.Process
    caller_address: Address

    def memory_mb(self, name: str) -> float:
        """Return a figure of the process's memory, such as VmHWM, in MiB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return round(int(line.split()[1]) / 1024, 1)
        return 0.0

    @property
    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


@dataclass
class _Answers:
    statuses: Counter[int] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)

    def record(self, status: int, seconds: float) -> None:
        """Record the status of an answer, 0 for none, and how long it took."""
        self.statuses[status] += 1
        self.seconds.append(seconds)

    def summary(self) -> dict[str, Any]:
        """Return counts by status, and the delays."""
        return {
            "statuses": dict(self.statuses),
            "p50_ms": round(percentile(self.seconds, 0.5) * 1000),
            "p99_ms": round(percentile(self.seconds, 0.99) * 1000),
        }


def _config() -> bytes:
    large = {"timeout": "6s", "slo": "3s", "public": True}
    routes = [
        route_entry("small", "shop", "/small/", "idempotent", 1, public=True),
        route_entry("large", "files", "/large/", "non_idempotent", 1, **large),
    ]
    document = json.loads(config_document(1, routes))
    limits = document["resources"][-1]["spec"]
    limits["max_body_bytes"] = MAX_BODY_BYTES
    limits["header_timeout"] = HEADER_TIMEOUT
    return json.dumps(document).encode()


@asynccontextmanager
async def _deployment(folder: Path, answer_bytes: int) -> AsyncIterator[list[_Node]]:
    store = StoreStandIn()
    await store.start()
    await store.put("op", "config", _config())
    targets = [TargetStandIn("shop", 64, "t-0"), TargetStandIn("files", 64, "t-1")]
    targets[1].mode = TargetMode(work_s=0.02, body_bytes=answer_bytes)
    base = free_ports(PORTS)
    nodes = []
    for index, target in enumerate(targets):
        host = f"127.0.0.{index + 1}"
        await target.start(host)
        path = folder / f"node-{index}.json"
        ports = write_settings(
            path, index, host, base, target.address, target.pool, store.address
        )
        target.heartbeat_address = ports["control"]
        command = [sys.executable, "-m", "dogwooddock.platform"]
        process = await asyncio.create_subprocess_exec(
            *command,
            env={**os.environ, "DOGWOODDOCK_NODE_FILE": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        nodes.append(_Node(process, ports["outbound"]))
    heartbeats = asyncio.ensure_future(_send_heartbeats(targets))
    try:
        await asyncio.sleep(START_S)
        yield nodes
    finally:
        heartbeats.cancel()
        for node in nodes:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.wait()
        store.stop()


async def _send_heartbeats(targets: list[TargetStandIn]) -> None:
    while True:
        for target in targets:
            try:
                await target.send_heartbeat()
            except (OSError, asyncio.IncompleteReadError):
                pass
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def _head(method: str, path: str, request_id: str, length: int = 0) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"Dogwooddock-Request-Id: {request_id}\r\nContent-Length: {length}\r\n"
        "Dogwooddock-Deadline-Ms: 6000\r\n\r\n"
    ).encode()


async def _read_status(reader: asyncio.StreamReader) -> int:
    """Read a whole answer; return its status, or 0 if there was none."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
        length = int(block.lower().partition(b"content-length:")[2].split()[0])
        await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0
    return int(block.split()[1])


async def _upload(address: Address, number: int, stalls: bool, done: _Answers) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    reader, writer = await asyncio.open_connection(*address)
    body = bytes(LARGE_BYTES - (STALLED_BYTES if stalls else 0))
    writer.write(_head("POST", "/large/1", f"upload{number:08x}", LARGE_BYTES))
    writer.write(body)
    try:
        status = await asyncio.wait_for(_read_status(reader), PLAY_S * 2)
    except TimeoutError:
        status = 0
    done.record(status, loop.time() - started)
    writer.close()


async def _ask_and_read_nothing(address: Address, number: int) -> socket.socket:
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(sock, _head("GET", "/large/1", f"silent{number:08x}"))
    return sock


async def _send_small(address: Address, done: _Answers) -> None:
    """Send small requests at a fixed rate, each on its own connection."""
    number = 0
    async with asyncio.TaskGroup() as group:
        try:
            while True:
                number += 1
                group.create_task(_small(address, number, done))
                await asyncio.sleep(SMALL_PERIOD_S)
        except asyncio.CancelledError:
            return


async def _small(address: Address, number: int, done: _Answers) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    status = 0
    try:
        async with asyncio.timeout(SMALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(_head("GET", "/small/1", f"small{number:08x}"))
            status = await _read_status(reader)
            writer.close()
    except (OSError, TimeoutError):
        pass
    done.record(status, loop.time() - started)


async def _play_uploads(nodes: list[_Node], scale: float) -> dict[str, Any]:
    address = nodes[0].caller_address
    whole, stalled = _Answers(), _Answers()
    async with asyncio.TaskGroup() as group:
        for number in range(int(UPLOADS * scale)):
            stalls = number % 2 == 0
            done = stalled if stalls else whole
            group.create_task(_upload(address, number, stalls, done))
    return {"whole": whole.summary(), "stalled": stalled.summary()}


async def _play_answers(nodes: list[_Node], scale: float) -> dict[str, Any]:
    address = nodes[0].caller_address
    sockets = [
        await _ask_and_read_nothing(address, number)
        for number in range(int(SILENT_CALLERS * scale))
    ]
    await asyncio.sleep(PLAY_S)
    begun: Counter[bytes] = Counter()
    for sock in sockets:
        try:
            begun[sock.recv(12)] += 1
        except OSError:
            begun[b"none"] += 1
        sock.close()
    return {"begun": {text.decode(): count for text, count in begun.items()}}


async def _measure(play: str, scale: float) -> dict[str, Any]:
    answer_bytes = LARGE_BYTES if play == "answers" else 0
    with TemporaryDirectory() as name:
        async with _deployment(Path(name), answer_bytes) as nodes:
            idle = [node.memory_mb("VmRSS") for node in nodes]
            small = _Answers()
            beside = asyncio.ensure_future(_send_small(nodes[0].caller_address, small))
            run = _play_uploads if play == "uploads" else _play_answers
            result = await run(nodes, scale)
            beside.cancel()
            await asyncio.wait([beside], timeout=SMALL_TIMEOUT_S)
            return {
                "play": play,
                "scale": scale,
                "idle_mb": idle,
                "peak_mb": [node.memory_mb("VmHWM") for node in nodes],
                "after_mb": [node.memory_mb("VmRSS") for node in nodes],
                "cpu_s": [round(node.cpu_s, 1) for node in nodes],
                "small": small.summary(),
                **result,
            }


def main() -> None:
    """Run the plays, print their figures and save them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--play", choices=("uploads", "answers"))
    args = parser.parse_args()
    plays = [args.play] if args.play else ["uploads", "answers"]
    rows = [asyncio.run(_measure(play, args.scale)) for play in plays]
    for row in rows:
        print(json.dumps(row))
    save_results("heldbytes", {"rows": rows})


if __name__ == "__main__":
    main()
