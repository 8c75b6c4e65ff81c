"""Real node processes on loopback, and crowds of clients that hold connections open."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from pathlib import Path

from bench.mesh_standin import StoreStandIn, TargetMode, TargetStandIn
from bench.settingsfile import config_document, free_ports, route_entry, write_settings

MEBIBYTE = 1 << 20
PORTS = 8
HEARTBEAT_INTERVAL_S = 1.0
# Longest waits; a node that needs longer hangs.
START_LIMIT_S = 30.0
ANSWER_LIMIT_S = 30.0
STOP_LIMIT_S = 20.0
# Pause between two pieces of a client that must be closed.
SEND_ON_PAUSE_S = 0.1
# How long a client of a crowd waits for a node that does not read.
SEND_LIMIT_S = 4.0


@dataclass(frozen=True)
class Crowd:
    """Clients that each send a head, then pieces, and stay open.

    Args:
        head: First bytes of each client.
        piece: Bytes that are repeated after them.
        size: Bytes that each client sends at most.
        clients: Number of clients.
        port: Name of the node's port.
        pause_s: Pause between two pieces, in seconds.
        closed: Whether the node has to close each connection in the end.
    """

    head: bytes
    piece: bytes = b""
    size: int = 0
    clients: int = 40
    port: str = "outbound"
    pause_s: float = 0.0
    closed: bool = False


class NodeProcess:
    """A process of a node, and what Linux tells of it."""

    def __init__(self, process, ports):
        self.process = process
        self.ports = ports

    @property
    def peak_bytes(self):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    @property
    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def check(self, memory_mb, max_fds):
        """Check that the process lives, and what it holds."""
        assert self.process.poll() is None, "the process has ended"
        peak_mb = self.peak_bytes / MEBIBYTE
        assert peak_mb <= memory_mb, f"{peak_mb:.0f} MB"
        assert self.descriptors <= max_fds, f"{self.descriptors} descriptors"

    async def stop(self):
        """Stop it as planned; return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_LIMIT_S):
            while self.process.poll() is None:
                await asyncio.sleep(0.05)
        return self.process.returncode


@contextmanager
def own_interface_node(*more):
    """Run `dogwooddock node`, and yield it with the ports that it logs."""
    base = free_ports(5)
    names = ("router-listen", "local-listen", "peer-listen", "admin-listen")
    ports = {name: ("127.0.0.1", base + n) for n, name in enumerate(names)}
    command = [sys.executable, "-m", "dogwooddock", "node", "--name", "n"]
    for name, (host, port) in ports.items():
        command += [f"--{name}", f"{host}:{port}"]
    process = subprocess.Popen(
        [*command, "--zone", "z", *more], stderr=subprocess.PIPE, text=True
    )
    try:
        assert any("node_started" in line for line in process.stderr)
        yield NodeProcess(process, ports)
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


@asynccontextmanager
async def deployment(folder, limits, max_body_bytes, nodes=1, mode=None):
    """Run nodes; the target of the route ``/odd/`` is that of the last one."""
    store = StoreStandIn()
    await store.start()
    config = _config("pool-0", f"pool-{nodes - 1}", max_body_bytes)
    await store.put("op", "config", config)
    base = free_ports(PORTS)
    targets, running = [], []
    for index in range(nodes):
        host = f"127.0.0.{index + 1}"
        target = TargetStandIn(f"pool-{index}", 64, f"t-{index}")
        await target.start(host)
        target._server.limits = target._server.limits.__class__(1 << 20, 1 << 30)
        target.mode = mode if mode and index == nodes - 1 else TargetMode()
        path = folder / f"node-{index}.json"
        addresses = (host, base, target.address, target.pool, store.address)
        ports = write_settings(path, index, *addresses, limits=limits)
        target.heartbeat_address = ports["control"]
        ports["peer"] = (host, base + 4)
        ports["operator"] = (host, base + 7)
        running.append(NodeProcess(_start(path, base + 7), ports))
        targets.append(target)
    heartbeats = asyncio.ensure_future(_send_heartbeats(targets))
    try:
        for path in {"/small/start", "/odd/start"}:
            assert await ask(running[0].ports["outbound"], path) == 200
        yield running
    finally:
        heartbeats.cancel()
        for node in running:
            node.process.kill()
            node.process.wait()
        for target in targets:
            target.stop()
        store.stop()


def _start(path, operator_port):
    command = [sys.executable, "-m", "dogwooddock.platform"]
    return subprocess.Popen(
        [*command, "--operator-port", str(operator_port)],
        env={**os.environ, "DOGWOODDOCK_NODE_FILE": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def _config(small_pool, odd_pool, max_body_bytes):
    times = {"timeout": "20s", "slo": "10s"}
    routes = [
        route_entry("small", small_pool, "/small/", "idempotent", 1, **times),
        route_entry("odd", odd_pool, "/odd/", "non_idempotent", 1, **times),
    ]
    document = json.loads(config_document(1, routes))
    limits = document["resources"][-1]["spec"]
    limits["max_body_bytes"] = max_body_bytes
    limits["header_timeout"] = "1s"
    return json.dumps(document).encode()


async def _send_heartbeats(targets):
    while True:
        for target in targets:
            try:
                await asyncio.wait_for(target.send_heartbeat(), 5.0)
            except (OSError, TimeoutError):
                pass
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def head(path, *fields, method="GET", request_id="r-1", budget_ms=20_000):
    """Return the bytes of a request's head."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: app.example",
        f"Dogwooddock-Request-Id: {request_id}",
        f"Dogwooddock-Deadline-Ms: {budget_ms}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


async def ask(address, path):
    """Ask as a client that comes back until it succeeds; return the last status."""
    return await send_until_answered(address, [head(path) + b"\r\n"], (200,))


async def send_until_answered(address, parts, wanted=range(200, 600)):
    """Send a request until its status is wanted; return the last one."""
    status, until = 0, asyncio.get_running_loop().time() + START_LIMIT_S
    while status not in wanted and asyncio.get_running_loop().time() < until:
        status = await send(address, parts)
        await asyncio.sleep(0.05)
    return status


async def send(address, parts):
    """Send a request in parts; return the status of its answer, 0 for none."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            reader, writer = await asyncio.open_connection(*address)
            sending = asyncio.ensure_future(_write(writer, parts))
            line = await reader.readline()
            while line.startswith(b"HTTP/1.1 1"):
                await reader.readuntil(b"\r\n\r\n" if line.strip() else b"\r\n")
                line = await reader.readline()
            sending.cancel()
            return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.transport.abort()


async def _write(writer, parts):
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0)


@asynccontextmanager
async def gathered(crowd, node):
    """Let a crowd send what it has; yield, while its connections stay open."""
    clients = [_Client(crowd) for _ in range(crowd.clients)]
    address = node.ports[crowd.port]
    await asyncio.gather(*(client.run(address) for client in clients))
    try:
        yield
        if crowd.closed:
            await asyncio.gather(*(client.wait_closed() for client in clients))
    finally:
        for client in clients:
            client.sock.close()


class _Client:
    def __init__(self, crowd):
        self.crowd = crowd
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.is_closed = False

    async def run(self, address):
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                await asyncio.get_running_loop().sock_connect(self.sock, address)
                await self._send()
        except TimeoutError:
            pass
        except OSError:
            self.is_closed = True

    async def _send(self):
        loop, crowd = asyncio.get_running_loop(), self.crowd
        await loop.sock_sendall(self.sock, crowd.head)
        sent = len(crowd.head)
        while sent + len(crowd.piece) <= crowd.size and crowd.piece:
            await loop.sock_sendall(self.sock, crowd.piece)
            sent += len(crowd.piece)
            await asyncio.sleep(crowd.pause_s)

    async def wait_closed(self):
        """Send on and wait until the node has closed the connection."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            try:
                while not self.is_closed:
                    await loop.sock_sendall(self.sock, self.crowd.piece)
                    await asyncio.sleep(max(self.crowd.pause_s, SEND_ON_PAUSE_S))
                    self.is_closed = self._has_ended()
            except OSError:
                self.is_closed = True

    def _has_ended(self):
        try:
            return not self.sock.recv(65536)
        except BlockingIOError:
            return False
