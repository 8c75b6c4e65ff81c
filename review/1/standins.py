"""Stand-ins of clients, servers and the platform for the scripts of the review.

They use the standard library only and speak what the users' pages describe.
"""

__all__ = [
    "Answer",
    "Client",
    "Deployment",
    "Node",
    "Record",
    "Request",
    "Server",
    "Store",
    "main",
    "route",
]

import asyncio
import base64
import itertools
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

Address = tuple[str, int]

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
HEARTBEAT_S = 1.5
PORTS = range(10_000, 32_000)
# Time that the store takes for an answer, besides that of a transaction.
ANSWER_S = 0.004
RUN_COMMAND = ("-m", "dogwooddock.platform", "--operator-port", "9464")


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
        self._file.flush()


@dataclass
class Request:
    """A request as received by a server."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the request id."""
        return self.headers.get("dogwooddock-request-id", "")


@dataclass
class Answer:
    """What a client got; status 0 if the connection ended without a whole answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    cause: str = ""
    received: int = 0

    @property
    def stamped(self) -> bool:
        """Report whether the answer bears a server's stamp."""
        return "dogwooddock-server-stamp" in self.headers


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers."""
    block = await reader.readuntil(b"\r\n\r\n")
    first, *lines = block[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a whole request, whose body has a length."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    size = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(size))


def render(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Render a response with a length."""
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self, record: Record):
        self._record = record
        self._rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self._version = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._started = time.monotonic()
        self.address: Address = ("", 0)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Write a row as the operator does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([((table, "", key), text)])
        self._record.note(f"operator: {table}/{key} {value.get('version')} is written")

    async def _apply(self, puts: list[tuple[tuple[str, str, str], str]]) -> None:
        async with self._changed:
            self._version += 1
            for key, text in puts:
                self._rows[key] = (self._version, text)
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                await asyncio.sleep(ANSWER_S)
                status, body = await self._perform(request)
                body["ver"] = self._version
                body["now"] = f"{int((time.monotonic() - self._started) * 1000)}ms"
                data = json.dumps(body).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(render(status, kind, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _perform(self, request: Request) -> tuple[str, dict[str, Any]]:
        path, _, text = request.target.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
        if path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        table = query["table"]
        if path == "/rows-parts":
            parts = {part for name, part, _ in self._rows if name == table}
            return "200 OK", {"parts": sorted(parts), "has_more": False}
        if path == "/rows-get":
            part = query.get("part", "")
            found = self._select(lambda key, _: key[:2] == (table, part))
            return "200 OK", {"rows": found, "has_more": False}
        if path == "/rows-feed":
            return await self._feed(table, int(query["after"]), query)
        return "404 Not Found", {}

    async def _feed(
        self, table: str, after: int, query: dict[str, str]
    ) -> tuple[str, dict[str, Any]]:
        def newer(key: tuple[str, str, str], version: int) -> bool:
            return key[0] == table and version > after

        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        async with self._changed:
            while not (rows := self._select(newer)):
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
        return "200 OK", {"rows": sorted(rows, key=lambda row: row["ver"])}

    def _select(
        self, matches: Callable[[tuple[str, str, str], int], bool]
    ) -> list[dict[str, Any]]:
        return [
            {"table": key[0], "part": key[1], "key": key[2], "value": text, "ver": ver}
            for key, (ver, text) in sorted(self._rows.items())
            if matches(key, ver)
        ]

    async def _transact(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        await asyncio.sleep(0.003)
        keys = [
            (row["table"], row.get("part", ""), row["key"])
            for row in body.get("precondition", [])
        ]
        for key, row in zip(keys, body.get("precondition", []), strict=True):
            if self._rows.get(key, (0, ""))[0] != row["ver"]:
                rows = self._select(lambda each, _: each in keys)
                return "412 Precondition Failed", {"rows": rows}
        puts = [
            ((row["table"], row.get("part", ""), row["key"]), row["value"])
            for row in body.get("puts", [])
        ]
        await self._apply(puts)
        return "200 OK", {}


Handler = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """An application server beside a node: heartbeats, health and requests.

    Args:
        name: Name for the record.
        service: Service that it belongs to.
        host: Address of its machine.
        slots: Requests that it says it runs at once.
        handler: Serves a request; writes the response.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        slots: int,
        record: Record,
        handler: Handler,
    ):
        self.name = name
        self.service = service
        self.slots = slots
        self.record = record
        self.id = f"i-{secrets.token_hex(4)}"
        self.runs: dict[str, int] = {}
        self.born_ms = int(time.time() * 1000)
        self._handler = handler
        self._host = host
        self._server: asyncio.Server | None = None
        self._sequence = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self._control: Address = ("", 0)
        self._zone = ""
        self.state = "ready"
        self.address: Address = ("", 0)

    async def start(self) -> None:
        """Listen on a free port of the machine."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def beat_at(self, control: Address, zone: str) -> None:
        """Send heartbeats to the control address of the machine's node."""
        self._control, self._zone = control, zone
        self._tasks.append(asyncio.create_task(self._beat()))

    def check_in(self) -> dict[str, Any]:
        """Return the body of the next check-in."""
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left": "0ms",
            "seq": next(self._sequence),
            "born": self.born_ms,
        }

    async def call_control(self, call: str, body: dict[str, Any]) -> bool:
        """Make a call of the registry; return whether it was acknowledged."""
        target = f"/rpc?call=instances.{call}&of={self.id}"
        headers = {"Content-Type": "application/json"}
        client = Client(self._control, self.record)
        data = json.dumps(body).encode()
        answer = await client.exchange("POST", target, headers, data, 1.0)
        client.close()
        self.record.note(
            f"{self.name}: {call} {body.get('state', '')} seq {body['seq']} "
            f"gets {answer.status}"
        )
        return 200 <= answer.status < 300

    async def _beat(self) -> None:
        while True:
            await self.call_control("heartbeat", self.check_in())
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self) -> float:
        """Report that the server leaves; return the time of the acknowledgement."""
        self.state = "draining"
        while not await self.call_control("heartbeat", self.check_in()):
            await asyncio.sleep(0.2)
        return time.monotonic()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request.target == "/health":
                    status = "200 OK" if self.state == "ready" else "503 Leaving"
                    headers = {"Dogwooddock-Instance-Id": self.id}
                    writer.write(render(status, headers))
                elif request.headers.get("dogwooddock-expect-instance") != self.id:
                    headers = {
                        "Dogwooddock-Request-Id": request.id,
                        "Dogwooddock-Instance-Id": self.id,
                    }
                    writer.write(render("421 Misdirected Request", headers))
                else:
                    await self._handler(self, request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def begin(self, request: Request) -> None:
        """Count a run."""
        self.runs[request.id] = self.runs.get(request.id, 0) + 1
        self.record.note(f"{self.name}: runs {request.id}")

    def success(self, request: Request, body: bytes) -> bytes:
        """Render the answer of a run that ended well."""
        stamp = f"{self.id}.{secrets.token_hex(4)}"
        headers = {
            "Dogwooddock-Request-Id": request.id,
            "Dogwooddock-Server-Stamp": stamp,
        }
        return render("200 OK", headers, body)

    def shed(self, request: Request) -> bytes:
        """Render the answer to a request that is not run."""
        headers = {
            "Dogwooddock-Request-Id": request.id,
            "Dogwooddock-Not-Run": "1",
        }
        return render("503 Service Unavailable", headers)

    def close(self) -> None:
        """Stop listening and stop the heartbeats."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()


class Client:
    """One kept connection of a client.

    Args:
        address: Where to connect to.
        record: Where to note.
        receive_bytes: Size of the receive buffer; 0 for the system's.
        segment_bytes: Largest TCP segment; 0 for the system's.
    """

    def __init__(
        self,
        address: Address,
        record: Record,
        receive_bytes: int = 0,
        segment_bytes: int = 0,
    ):
        self.address = address
        self.record = record
        self._receive_bytes = receive_bytes
        self._segment_bytes = segment_bytes
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect unless connected."""
        if self._writer is not None:
            return
        sock = socket.socket()
        sock.setblocking(False)
        if self._receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes)
        if self._segment_bytes:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self._segment_bytes)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(sock, self.address)
        except OSError:
            sock.close()
            raise
        limit = 2**14
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=limit
        )

    async def exchange(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        wait_s: float,
        read_bytes: int = 65536,
        read_pause_s: float = 0.0,
    ) -> Answer:
        """Send a request and read the answer.

        Args:
            method: Method.
            target: Path and query.
            headers: Headers.
            body: Body.
            wait_s: Time budget, in seconds.
            read_bytes: Most bytes of the body that are read at once.
            read_pause_s: Pause before each such read, in seconds.
        """
        try:
            async with asyncio.timeout(wait_s):
                await self.connect()
                assert self._writer is not None
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                return await self._read_answer(read_bytes, read_pause_s)
        except TimeoutError:
            self.close()
            return Answer(0, cause="time budget")
        except OSError as exc:
            self.close()
            return Answer(0, cause=f"connection: {exc!r}")

    async def _read_answer(self, read_bytes: int, pause_s: float) -> Answer:
        assert self._reader is not None
        try:
            first, headers = await read_head(self._reader)
        except asyncio.IncompleteReadError as exc:
            self.close()
            return Answer(
                0, cause="closed before the answer", received=len(exc.partial)
            )
        size = int(headers.get("content-length", "0"))
        chunks: list[bytes] = []
        received = 0
        while received < size:
            if pause_s:
                await asyncio.sleep(pause_s)
            chunk = await self._reader.read(min(read_bytes, size - received))
            if not chunk:
                self.close()
                return Answer(0, headers, cause="answer cut off", received=received)
            chunks.append(chunk)
            received += len(chunk)
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, headers, b"".join(chunks), received=received)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Node:
    """A node process beside a server.

    Args:
        name: Name of the machine.
        zone: Availability zone.
        host: Loopback address of the machine.
        base: First of its ports, the same on all machines.
        server: Server beside it.
        store: The platform's store.
        folder: Folder for settings and output.
        settings: Settings that replace the usual ones.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        base: int,
        server: Server,
        store: Store,
        folder: Path,
        settings: dict[str, Any],
    ):
        self.name, self.zone, self.host = name, zone, host
        self.server = server
        self.outbound = (host, base)
        self.ready = (host, base + 2)
        self.control = (host, base + 3)
        self.process: asyncio.subprocess.Process | None = None
        self._record = server.record
        self._settings_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self.settings = {
            "node": name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar", "control"],
            "ip": host,
            "zone": zone,
            "region": "region-1",
            "listen": {
                "outbound": f"{host}:{base}",
                "inbound": f"{host}:{base + 1}",
                "ready": f"{host}:{base + 2}",
                "control": f"{host}:{base + 3}",
            },
            "port_range": [base + 4, base + 19],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cores": 2, "memory_mb": 300, "max_fds": 4100},
            "heartbeat": "1500ms",
            "bounds": [
                "stability=3000ms",
                "ack=4000ms",
                "drain=2000ms",
                "grace=6s",
                "lost_slack=200ms",
                "config=2000ms",
                "budget_ratio=0.2",
                "budget_window=10s",
                "budget_extra=48",
            ],
            "app_addr": f"{server.address[0]}:{server.address[1]}",
            "service": server.service,
            "provider": {"address": f"{store.address[0]}:{store.address[1]}"},
            **settings,
        }
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file."""
        self._settings_path.write_text(json.dumps(self.settings))

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["DOGWOODDOCK_NODE_FILE"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                *RUN_COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.note(f"{self.name}: process {self.process.pid} is started")

    async def is_ready(self) -> bool:
        """Ask whether the node is ready."""
        client = Client(self.ready, self._record)
        try:
            answer = await client.exchange("GET", "/ready", {"Host": "x"}, b"", 1.0)
            return answer.status == 200
        except OSError:
            return False
        finally:
            client.close()

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signum)
            self._record.note(f"{self.name}: gets {signum.name}")

    async def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        return self._log_path.read_text(errors="replace").splitlines()


def route(
    name: str, service: str, kind: str, timeout_ms: int, priority: int = 0, **more: Any
) -> dict[str, Any]:
    """Return a route of the desired state; its prefix is its name."""
    spec = {
        "host": "app.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": f"{timeout_ms}ms",
        "slo": f"{timeout_ms}ms",
        "priority": priority,
        "service": service,
        "attempts": 2,
        **more,
    }
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


class Deployment:
    """A small deployment on loopback addresses.

    Args:
        record: Where to note.
        routes: Routes of the desired state.
        settings: Settings of the nodes that replace the usual ones.
        tenants: Name, key, requests per second and burst of each tenant.
    """

    def __init__(
        self,
        record: Record,
        routes: list[dict[str, Any]],
        settings: dict[str, Any] | None = None,
        tenants: list[tuple[str, str, float, float]] | None = None,
    ):
        self.record = record
        self.store = Store(record)
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self.max_body_bytes = 64 * 1024 * 1024
        self._routes = routes
        self._settings = settings or {}
        self._tenants = tenants or []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self._base = 0

    async def add(self, service: str, zone: str, slots: int, handler: Handler) -> Node:
        """Start a server and write the settings of the node beside it."""
        if not self.store.address[1]:
            await self.store.start()
        number = len(self.nodes) + 1
        host = f"{self._prefix}.{number}"
        if not self._base:
            self._base = _free_base(host)
        server = Server(f"server-{number}", service, host, slots, self.record, handler)
        await server.start()
        node = Node(
            f"node-{number}",
            zone,
            host,
            self._base,
            server,
            self.store,
            self._folder,
            self._settings,
        )
        self.servers.append(server)
        self.nodes.append(node)
        return node

    async def put_config(self, number: int, routes: list[dict[str, Any]]) -> None:
        """Write a version of the desired state."""
        services = [
            {
                "type": "services",
                "metadata": {"name": name},
                "spec": {"health_path": "/health", "max_conns": 316},
            }
            for name in sorted({server.service for server in self.servers})
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": self.max_body_bytes,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        }
        entries: list[dict[str, Any]] = [
            {"type": "limits", "metadata": {}, "spec": limits}
        ]
        for name, key, rate_per_s, burst in self._tenants:
            spec = {"api_keys": [key], "rate_per_s": rate_per_s, "burst": burst}
            entries.append(
                {"type": "tenants", "metadata": {"name": name}, "spec": spec}
            )
        state = {"version": f"r{number}", "resources": [*routes, *services, *entries]}
        await self.store.put("op", "config", state)

    async def start(self, settle_s: float = 3.0) -> None:
        """Start the nodes and wait until they are ready and know each other.

        Raises:
            RuntimeError: A node does not become ready.
        """
        await self.put_config(1, self._routes)
        for node in self.nodes:
            await node.start()
            node.server.beat_at(node.control, node.zone)
        until = time.monotonic() + 20.0
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{node.name} does not become ready")
                await asyncio.sleep(0.2)
        await asyncio.sleep(settle_s)
        self.record.note("all nodes are ready")

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            await node.end()
        for server in self.servers:
            server.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def _free_base(host: str) -> int:
    while True:
        base = random.randrange(PORTS.start, PORTS.stop - 20)
        try:
            for offset in range(20):
                with socket.socket() as probe:
                    probe.bind((host, base + offset))
        except OSError:
            continue
        return base


def request_headers(request_id: str, wait_s: float) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": "app.example",
        "Dogwooddock-Request-Id": request_id,
        "Dogwooddock-Deadline-Ms": str(int(wait_s * 1000)),
    }


def new_id() -> str:
    """Return a new request id."""
    return secrets.token_hex(8)


def main(
    record_path: Path,
    play: Callable[[Record, bool], Awaitable[bool]],
    limit_s: float = 110.0,
) -> None:
    """Play a case and exit with 0 if the rule held, 1 if it was broken, 2 otherwise.

    Args:
        record_path: File in which to note what was sent, answered and run.
        play: Plays the case, with the disruption if its second argument is true;
            returns whether the rule held.
        limit_s: Longest time, in seconds.
    """
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"disruption: {'yes' if trouble else 'no'}")

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await play(record, trouble)

    try:
        held = asyncio.run(limited())
    except Exception as exc:
        record.note(f"the case could not run: {exc!r}")
        sys.exit(NOT_RUN)
    record.note("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(HELD if held else BROKEN)
