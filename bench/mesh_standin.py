"""Stand-ins of the users' platform: its store, and targets that send heartbeats."""

__all__ = ["LARGE_ANSWER", "StoreStandIn", "TargetMode", "TargetStandIn"]

import asyncio
import base64
import hashlib
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from dogwooddock.http1.client import ConnectionPool
from dogwooddock.http1.messages import Response, render_request
from dogwooddock.http1.server import Exchange, HttpServer
from dogwooddock.mesh.rows import (
    Change,
    ExpectedVersion,
    HistoryLost,
    MemoryRowStore,
    Row,
)

Address = tuple[str, int]

# Requests whose id ends so get an answer of some 400 KB.
LARGE_ANSWER = "-large"
LARGE_ANSWER_DIGESTS = 6400


def _render_row(row: Row) -> dict[str, Any]:
    rendered: dict[str, Any] = {
        "table": row.table,
        "part": row.part,
        "key": row.key,
        "ver": row.version,
    }
    if row.removed:
        rendered["removed"] = True
    else:
        rendered["value"] = base64.b64encode(row.value).decode()
    return rendered


@dataclass
class StoreFaults:
    """Injected faults of the store.

    Args:
        refuse: HTTP status with which every call is refused; 0 for none.
        silent: Whether calls are neither executed nor answered.
        lose_answers: Whether writes are executed but not answered.
        garble: Whether the JSON of answers has fields of the wrong type.
        delay_s: Delay before each call is executed, in seconds.
    """

    refuse: int = 0
    silent: bool = False
    lose_answers: bool = False
    garble: bool = False
    delay_s: float = 0.0


class StoreStandIn:
    """The platform's store over HTTP, with its rows in memory."""

    def __init__(self) -> None:
        self.rows = MemoryRowStore()
        self.era = 1
        self._copy = MemoryRowStore()
        self._forgotten = 0
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self._server = HttpServer(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()
        self.address: Address = ("", 0)

    async def start(self) -> Address:
        """Listen on a free port; return the address."""
        self.address = await self._server.start(("127.0.0.1", 0))
        return self.address

    def stop(self) -> None:
        """Stop listening and cancel calls in progress."""
        self._server.stop()
        for task in self._tasks:
            task.cancel()

    async def put(self, table: str, key: str, value: bytes, part: str = "") -> int:
        """Write a row without a precondition; return its version."""
        result = await self.rows.transact([], [Change(table, part, key, value)])
        return result.version

    def forget_waiting_calls(self) -> None:
        """Leave the calls that wait now unanswered, with their connections open."""
        self._forgotten += 1

    async def fall_silent(self, duration_s: float) -> None:
        """Answer no call for a time, nor those that wait at its start."""
        self.faults.silent = True
        self.forget_waiting_calls()
        await asyncio.sleep(duration_s)
        self.faults.silent = False

    def compact_history(self) -> None:
        """Compact the change history; reading from an earlier version gets 410."""
        self.rows.compacted_version = self.rows.version + 1
        self.rows.version += 1

    def take_copy(self) -> None:
        """Copy the rows, for a later ``return_from_copy``."""
        self._copy = self.rows.copy()

    def return_from_copy(self) -> None:
        """Lose what was written since the copy, and begin the next era."""
        self.rows = self._copy.copy()
        self.era += 1

    def _handle(self, exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: Exchange) -> None:
        path = exchange.request.path.decode()
        self.calls[path] += 1
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.silent:
            return
        if faults.refuse:
            exchange.respond(faults.refuse, self._header_block(), b"")
            return
        era = self.era
        forgotten = self._forgotten
        status, body = await self._perform(path, exchange)
        if path == "/rows-tx" and faults.lose_answers:
            return
        if forgotten != self._forgotten:
            return
        if era != self.era:
            exchange.write_raw(b"", reset=True)
            return
        if faults.garble:
            body = {"rows": [{"key": 7, "value": "not base64!"}], "ver": "many"}
        exchange.respond(status, self._header_block(), json.dumps(body).encode())

    def _header_block(self) -> bytes:
        return f"Store-Era: {self.era}\r\n".encode() if self.era else b""

    async def _perform(
        self, path: str, exchange: Exchange
    ) -> tuple[int, dict[str, Any]]:
        query = exchange.request.query()
        if path == "/rows-tx":
            return await self._transact(json.loads(exchange.request.body))
        if path == "/rows-parts":
            return 200, {"parts": await self.rows.parts(query["table"])}
        if path == "/rows-get":
            page = await self.rows.read(query["table"], query.get("part", ""))
        else:
            wait_s = int(query["wait_ms"]) / 1000
            after = int(query["after"])
            if after > self.rows.version:
                return 410, {}
            try:
                page = await self.rows.changes(query["table"], after, wait_s)
            except HistoryLost:
                return 410, {}
        rows = [_render_row(row) for row in page.rows]
        return 200, {"rows": rows, "ver": page.version, "now": "0ms"}

    async def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = [
            ExpectedVersion(item["table"], item["part"], item["key"], item["ver"])
            for item in body["precondition"]
        ]
        changes = [
            Change(
                item["table"],
                item["part"],
                item["key"],
                base64.b64decode(item["value"]),
            )
            for item in body["puts"]
        ]
        changes += [
            Change(item["table"], item["part"], item["key"], None)
            for item in body["remove"]
        ]
        result = await self.rows.transact(expected, changes)
        if not result.applied:
            return 412, {"rows": [_render_row(row) for row in result.rows]}
        return 200, {"ver": result.version, "now": "0ms"}


@dataclass
class TargetMode:
    """Behaviour of a target.

    Args:
        work_s: Service time of a run, in seconds.
        status: Status of its answers.
        shed: Whether it refuses every request with ``Dogwooddock-Not-Run``.
        refusals: Number of times that each request is refused so before it runs.
        refuses_twice: Whether each refusal is written once more when the next request
            arrives on its connection.
        hang_when_full: Whether requests beyond the slots get no answer, instead of
            a refusal with ``Dogwooddock-Not-Run``.
        garble: How its answers are malformed: cut, extra, late, late-refusal, junk,
            foreign, unframed, unframed-reset, unstamped; empty for intact answers.
        calls: Hosts and paths of the downstream calls that each run makes through
            the local node.
        call_gap_s: Delay before each of these calls, in seconds.
        late_s: Delay of the second answer of late-refusal, in seconds.
        reset_after_idle_s: Idle time after which the next request on a connection
            makes the target reset it, in seconds; if negative, every request does.
        crash_on: Part of the path of requests that crash the target; empty for none.
        crash_silently: Whether a crashed target leaves connections open and
            unanswered instead of resetting them.
        crash_after_s: Time that a run takes until it crashes the target, in seconds;
            a request with an earlier deadline is answered with 504 at its deadline.
        failing: Whether the target answers each run with 500 at once.
        rate_limit: Requests a second that its answers name as its limit; empty for
            none.
        limit_in_refusals: Whether refusals name the limit as well.
        leaving: Whether its answers say that it leaves.
        body_bytes: Size of the bodies of its answers; 0 for a digest of the request.
        keep_alive: Seconds that its answers name in Keep-Alive; empty for none.
        work_by_path: Service times of the paths that start so, in seconds.
    """

    work_s: float = 0.0
    status: int = 200
    shed: bool = False
    refusals: int = 0
    refuses_twice: bool = False
    hang_when_full: bool = False
    garble: str = ""
    calls: tuple[tuple[str, str], ...] = ()
    call_gap_s: float = 0.0
    late_s: float = 0.02
    reset_after_idle_s: float = float("inf")
    crash_on: str = ""
    crash_silently: bool = False
    crash_after_s: float = 0.0
    failing: bool = False
    rate_limit: str = ""
    limit_in_refusals: bool = True
    leaving: bool = False
    body_bytes: int = 0
    keep_alive: str = ""
    work_by_path: tuple[tuple[str, float], ...] = ()

    def service_s(self, path: str) -> float:
        """Return the service time of a path, in seconds."""
        for prefix, work_s in self.work_by_path:
            if path.startswith(prefix):
                return work_s
        return self.work_s


@dataclass
class Run:
    """One run of a request at a target, with the headers that the target received."""

    request_id: str
    path: str
    body: bytes
    caller: str
    deadline_ms: int
    at: float
    target_id: str = ""
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass
class TargetStandIn:
    """A target on the VM of a node: it sends heartbeats and answers requests.

    Args:
        pool: Pool that it belongs to.
        slots: Requests that it runs concurrently.
        target_id: Identity of the target.
        mode: Behaviour of the target.
        born_ms: Start of this lifetime, in milliseconds since the epoch.
        runs: Requests that it ran, in order of arrival.
        arrived_at: Times at which requests were received, health checks aside, in
            seconds.
        arrivals: Identifiers of these requests, also of those that did not run.
        aborted_runs: Runs whose connection was closed before the answer.
        crashed: Whether the target has crashed and was not restarted.
        state: State that heartbeats report.
        address: Address that it listens on and reports.
        heartbeat_address: Address of the node for heartbeats.
        caller_address: Address of the node for downstream calls.
    """

    pool: str
    slots: int = 8
    target_id: str = "t-1"
    mode: TargetMode = field(default_factory=TargetMode)
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    runs: list[Run] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)
    arrivals: list[str] = field(default_factory=list)
    aborted_runs: int = 0
    crashed: bool = False
    state: str = "ready"
    address: Address = ("", 0)
    heartbeat_address: Address = ("", 0)
    caller_address: Address = ("", 0)
    _sequence: int = 0
    _busy: int = 0
    _answered_at: dict[int, float] = field(default_factory=dict)
    _second_refusals: dict[int, bytes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._server = HttpServer(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Listen; return the address.

        Args:
            host: Address to listen on.
            port: Port to listen on; 0 for a free one.
        """
        self.address = await self._server.start((host, port))
        return self.address

    def stop(self) -> None:
        """Abort all connections and runs at once, as in a crash."""
        self.crashed = True
        self._server.stop()
        for conn in list(self._server.connections):
            conn.abort()
        for task in list(self._tasks):
            task.cancel()

    def fall_silent(self) -> None:
        """Stop listening and answering, but leave open connections open."""
        self.crashed = True
        self._server.stop()

    async def restart(self, target_id: str = "", same_port: bool = True) -> None:
        """Begin a new lifetime after a crash.

        Args:
            target_id: Identity from now on; empty to keep the identity.
            same_port: Whether to listen on the port of the lifetime before.
        """
        self.stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server = HttpServer(self._handle)
        self._busy = 0
        self._sequence = 0
        self.target_id = target_id or self.target_id
        self.born_ms = max(int(time.time() * 1000), self.born_ms + 1)
        host, port = self.address
        self.crashed = False
        await self.start(host, port if same_port else 0)

    # Heartbeats.

    async def send_heartbeat(self, state: str = "", sequence: int | None = None) -> int:
        """Send a heartbeat; return the status of the answer, or 0 if there was none.

        Args:
            state: State to report from now on; empty to keep the state.
            sequence: Sequence number to send instead of the next one.
        """
        self.state = state or self.state
        self._sequence += 1
        body = {
            "service": self.pool,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left": "0ms",
            "seq": self._sequence if sequence is None else sequence,
            "born": self.born_ms,
        }
        return await self._post("instances.heartbeat", body)

    async def leave(self) -> int:
        """Deregister; return the status of the answer, or 0 if there was none."""
        self._sequence += 1
        body = {"seq": self._sequence, "born": self.born_ms}
        return await self._post("instances.deregister", body)

    async def _post(self, call: str, body: dict[str, Any]) -> int:
        target = f"/rpc?call={call}&of={self.target_id}".encode()
        data = render_request(
            b"POST", target, b"Host: node\r\n", json.dumps(body).encode()
        )
        conn = await ConnectionPool(self.heartbeat_address).open()
        result = await conn.exchange(data)
        conn.close()
        return result.status if isinstance(result, Response) else 0

    # Requests.

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if self.crashed:
            return
        if request.path == b"/health":
            healthy = self.state == "ready"
            block = f"Dogwooddock-Instance-Id: {self.target_id}\r\n".encode()
            exchange.respond(200 if healthy else 503, block, b"")
            return
        self.arrived_at.append(time.monotonic())
        fields = request.fields
        request_id = fields[b"dogwooddock-request-id"].decode()
        self.arrivals.append(request_id)
        second = self._second_refusals.pop(exchange.conn_id, b"")
        if second:
            exchange.write_before(second)
        idle_since = self._answered_at.get(exchange.conn_id, time.monotonic())
        if time.monotonic() - idle_since > self.mode.reset_after_idle_s:
            exchange.write_raw(b"", reset=True)
            return
        if fields.get(b"dogwooddock-expect-instance", b"").decode() != self.target_id:
            exchange.respond(421, self._header_block(request_id), b"")
        elif self.mode.shed or self.arrivals.count(request_id) <= self.mode.refusals:
            self._refuse(exchange, request_id)
        elif self._busy >= self.slots:
            if not self.mode.hang_when_full:
                exchange.respond(503, self._refusal_block(request_id), b"")
        else:
            self._busy += 1
            task = asyncio.get_running_loop().create_task(self._run(exchange))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _refuse(self, exchange: Exchange, request_id: str) -> None:
        block = self._refusal_block(request_id)
        exchange.respond(503, block, b"")
        if self.mode.refuses_twice:
            head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
            self._second_refusals[exchange.conn_id] = head + block + b"\r\n"

    async def _run(self, exchange: Exchange) -> None:
        fields = exchange.request.fields
        request_id = fields[b"dogwooddock-request-id"].decode()
        self.runs.append(
            Run(
                request_id,
                exchange.request.target.decode(),
                exchange.request.body,
                fields.get(b"dogwooddock-caller-service", b"").decode(),
                int(fields.get(b"dogwooddock-deadline-ms", b"0")),
                time.monotonic(),
                self.target_id,
                tuple(exchange.request.headers),
            )
        )
        if self.mode.failing:
            self._busy -= 1
            self._send_answer(exchange, request_id, 500)
            return
        if self.mode.crash_on and self.mode.crash_on in self.runs[-1].path:
            await self._run_until_crash(exchange, request_id)
            return
        try:
            status = await self._call_downstream(request_id) or self.mode.status
            path = exchange.request.target.decode()
            await asyncio.sleep(self.mode.service_s(path))
        finally:
            self._busy -= 1
        if exchange.disconnected or self.crashed:
            self.aborted_runs += 1
            return
        self._send_answer(exchange, request_id, status)

    async def _run_until_crash(self, exchange: Exchange, request_id: str) -> None:
        remaining_s = self.runs[-1].deadline_ms / 1000
        if remaining_s < self.mode.crash_after_s:
            await asyncio.sleep(remaining_s)
            self._busy -= 1
            self._send_answer(exchange, request_id, 504)
            return
        await asyncio.sleep(self.mode.crash_after_s)
        self._crash()

    def _crash(self) -> None:
        if self.mode.crash_silently:
            self.fall_silent()
        else:
            self.stop()

    async def _call_downstream(self, request_id: str) -> int:
        for number, (host, path) in enumerate(self.mode.calls):
            await asyncio.sleep(self.mode.call_gap_s)
            block = (
                f"Host: {host}\r\nDogwooddock-Request-Id: {request_id}.{number}\r\n"
                "Dogwooddock-Deadline-Ms: 1000\r\n"
            ).encode()
            conn = await ConnectionPool(self.caller_address).open()
            result = await conn.exchange(
                render_request(b"GET", path.encode(), block, b"")
            )
            conn.close()
            if not isinstance(result, Response) or result.status != 200:
                return 500
        return 0

    def _refusal_block(self, request_id: str) -> bytes:
        names_limit = self.mode.limit_in_refusals
        block = self._header_block(request_id, names_limit=names_limit)
        return block + b"Dogwooddock-Not-Run: 1\r\n"

    def _header_block(
        self, request_id: str, stamp: bool = False, names_limit: bool = True
    ) -> bytes:
        block = f"Dogwooddock-Request-Id: {request_id}\r\n"
        if self.mode.rate_limit and names_limit:
            block += f"Server-Limit: {self.mode.rate_limit}\r\n"
        if self.mode.keep_alive:
            block += f"Keep-Alive: timeout={self.mode.keep_alive}\r\n"
        if self.mode.leaving:
            block += "Server-Leaving: 1\r\n"
        if stamp:
            block += f"Dogwooddock-Server-Stamp: {self.target_id}\r\n"
        return block.encode()

    def _send_answer(self, exchange: Exchange, request_id: str, status: int) -> None:
        self._answered_at[exchange.conn_id] = time.monotonic()
        body = b"x" * self.mode.body_bytes or answer_body(request_id)
        block = self._header_block(request_id, stamp=True)
        garble = self.mode.garble
        if not garble:
            exchange.respond(status, block, body)
            return
        complete = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (
            block,
            len(body),
            body,
        )
        foreign = complete.replace(request_id.encode(), b"other-id")
        unframed = b"HTTP/1.1 200 OK\r\n" + block + b"\r\n" + body
        if garble == "cut":
            exchange.write_raw(complete[:-4], close=True)
        elif garble == "extra":
            exchange.write_raw(complete + foreign)
        elif garble == "late":
            exchange.write_raw(complete)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, exchange.write_raw, foreign)
        elif garble == "late-refusal":
            exchange.write_raw(complete)
            refusal = (
                b"HTTP/1.1 503 Service Unavailable\r\nDogwooddock-Not-Run: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            loop = asyncio.get_running_loop()
            loop.call_later(self.mode.late_s, exchange.write_raw, refusal)
        elif garble == "junk":
            exchange.write_raw(b"\x00\x01 no response\r\n\r\n", close=True)
        elif garble == "foreign":
            exchange.write_raw(foreign + complete)
        elif garble == "unframed":
            exchange.write_raw(unframed, close=True)
        elif garble == "unframed-reset":
            exchange.write_raw(unframed[:-4], reset=True)
        elif garble == "unstamped":
            exchange.respond(status, self._header_block(request_id), body)


def answer_body(request_id: str) -> bytes:
    """Return the body with which a target answers a request."""
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return digest * (LARGE_ANSWER_DIGESTS if request_id.endswith(LARGE_ANSWER) else 1)
