"""Stand-in targets with slots, service times, downstream calls, faults and a log.

One process hosts the targets of one pool. It reads its specification as one line of
JSON from standard input, and prints the address of its control port and those of the
targets. Every target logs the requests that it received, against which the outcomes
that clients were given are checked.
"""

import asyncio
import json
import signal
import sys
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

import aiohttp
from aiohttp import web

from .platform_standin import serve

REQUEST_ID_HEADER = "X-Request-Id"
ANNOUNCE_PERIOD_S = 1.0
COLD_START_FACTOR = 4.0


@dataclass
class Behaviour:
    """How a target handles the requests of one path.

    Args:
        own_ms: Median service time without downstream calls, in milliseconds.
        calls: Paths of the downstream calls, made one after the other.
        spread: Standard deviation of the logarithm of the service time.
        body_bytes: Size of the padding in the response, in bytes.
    """

    own_ms: float
    calls: list[str] = field(default_factory=list)
    spread: float = 0.25
    body_bytes: int = 400


@dataclass
class Execution:
    """Log entry for one request that a target received.

    Args:
        at: Time of arrival, in seconds since the epoch.
        target: Name of the target.
        method: HTTP method.
        path: Path of the request.
        request_id: Identity of the client request.
        key: Idempotency key, or empty.
        finished: Time of the end, in seconds since the epoch; 0 until then.
        ok: Whether the work was done.
    """

    at: float
    target: str
    method: str
    path: str
    request_id: str
    key: str
    finished: float = 0.0
    ok: bool = False


@dataclass
class TargetSpec:
    """Specification of one target.

    Args:
        name: Name of the target.
        pool: Pool that it belongs to.
        local: Address of its node for local targets, as "IP:PORT".
        slots: Requests that it runs at once.
        speed: Divisor of the service times.
        cold_start_s: Time after the start during which it is slower, in seconds.
    """

    name: str
    pool: str
    local: str
    slots: int
    speed: float = 1.0
    cold_start_s: float = 0.0


class StandinTarget:
    """One target that listens on a port of its own."""

    def __init__(self, spec: TargetSpec, paths: dict[str, Behaviour], rng: Random):
        self.spec = spec
        self.paths = paths
        self.rng = rng
        self.slots = asyncio.Semaphore(spec.slots)
        self.log: list[Execution] = []
        self.slow_factor = 1.0
        self.shed_share = 0.0
        self.fault = ""
        self.crash_marker = ""
        self.started = time.monotonic()
        self.runner: web.AppRunner | None = None
        self.address = ""
        self.in_flight = 0
        self.busy_s = 0.0
        self.leaving = False
        self.session: aiohttp.ClientSession | None = None
        self.background: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen and start to announce the target to its node."""
        timeout = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        await self.listen()
        self.run_in_background(self.announce())

    def run_in_background(self, coroutine: Coroutine) -> None:
        """Start a task and keep a reference to it until it is done."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def listen(self) -> None:
        """Open the port; after a crash, the same one again."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_route("*", "/{tail:.*}", self.handle)
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.05, handler_cancellation=True
        )
        await self.runner.setup()
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        site = web.TCPSite(
            self.runner, "127.0.0.1", port, backlog=1024, reuse_address=True
        )
        await site.start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"
        self.started = time.monotonic()

    async def announce(self) -> None:
        """Announce this target to its node once a second until it leaves."""
        url = f"http://{self.spec.local}/_dogwooddock/target"
        document = {"pool": self.spec.pool, "address": self.address}
        assert self.session is not None
        while not self.leaving:
            try:
                async with self.session.put(url, json=document):
                    pass
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def leave(self) -> None:
        """Deregister from the node, which waits for the requests in flight."""
        self.leaving = True
        url = f"http://{self.spec.local}/_dogwooddock/target"
        assert self.session is not None
        try:
            async with self.session.delete(url):
                pass
        except (aiohttp.ClientError, OSError):
            pass

    async def crash(self, down_s: float) -> None:
        """Abort every connection and listen again after a time in seconds."""
        runner, self.runner = self.runner, None
        if runner is None:
            return
        assert runner.server is not None
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()
        await asyncio.sleep(down_s)
        await self.listen()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Log one request and respond to it."""
        body = await request.read()
        execution = Execution(
            time.time(),
            self.spec.name,
            request.method,
            request.path,
            request.headers.get(REQUEST_ID_HEADER, ""),
            request.headers.get("Idempotency-Key", ""),
        )
        self.log.append(execution)
        if self.crash_marker and self.crash_marker.encode() in body:
            self.run_in_background(self.crash(2.0))
            await asyncio.sleep(5)
        if self.rng.random() < self.shed_share:
            return web.json_response({"error": "shed"}, status=503)
        self.in_flight += 1
        try:
            return await self.execute(request, execution, body)
        finally:
            self.in_flight -= 1
            execution.finished = time.time()

    async def execute(
        self, request: web.Request, execution: Execution, body: bytes
    ) -> web.StreamResponse:
        """Wait for a slot, sleep for the service time, call downstream and respond."""
        behaviour = self.paths.get(request.path)
        if behaviour is None:
            return web.json_response({"error": "unknown path"}, status=404)
        async with self.slots:
            started = time.monotonic()
            await asyncio.sleep(self.draw_service_s(behaviour))
            for path in behaviour.calls:
                if not await self.call_downstream(request, path):
                    return web.json_response({"error": "downstream"}, status=503)
            self.busy_s += time.monotonic() - started
        execution.ok = True
        if self.fault:
            return await self.send_faulty_response(request)
        document = {
            "request": execution.request_id,
            "target": self.spec.name,
            "received": len(body),
            "padding": "x" * behaviour.body_bytes,
        }
        return web.json_response(document)

    def draw_service_s(self, behaviour: Behaviour) -> float:
        """Draw the service time without downstream calls, in seconds."""
        mean = behaviour.own_ms / 1000 * self.slow_factor / self.spec.speed
        if time.monotonic() - self.started < self.spec.cold_start_s:
            mean *= COLD_START_FACTOR
        return mean * self.rng.lognormvariate(0.0, behaviour.spread)

    async def call_downstream(self, request: web.Request, path: str) -> bool:
        """Call another pool through the local node; return whether it answered 200."""
        headers = {REQUEST_ID_HEADER: request.headers.get(REQUEST_ID_HEADER, "")}
        if "traceparent" in request.headers:
            headers["traceparent"] = request.headers["traceparent"]
        assert self.session is not None
        url = f"http://{self.spec.local}{path}"
        try:
            async with self.session.get(url, headers=headers) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def send_faulty_response(self, request: web.Request) -> web.StreamResponse:
        """Send a partial response, or hang for 30 s, as the fault says; then reset.

        Any other fault resets the connection at once.
        """
        assert request.transport is not None
        if self.fault == "hang":
            await asyncio.sleep(30)
        if self.fault == "short":
            partial_response = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nshort"
            request.transport.write(partial_response)
            await asyncio.sleep(0.02)
        request.transport.abort()
        return web.Response()


class Host:
    """The targets of this process and the handlers of its control port."""

    def __init__(self, document: dict[str, Any]):
        rng = Random(document["seed"])
        paths = {
            path: Behaviour(**behaviour)
            for path, behaviour in document["paths"].items()
        }
        self.targets = {
            item["name"]: StandinTarget(TargetSpec(**item), paths, Random(rng.random()))
            for item in document["targets"]
        }

    async def control(self, request: web.Request) -> web.Response:
        """Run an action or set faults, on one target or, without a name, on all."""
        document = await request.json()
        name = document.pop("name", "")
        chosen = [self.targets[name]] if name else list(self.targets.values())
        for target in chosen:
            if document.get("action") == "crash":
                down_s = float(document.get("down_s", 2.0))
                target.run_in_background(target.crash(down_s))
            elif document.get("action") == "leave":
                await target.leave()
            elif document.get("action") == "clear":
                target.log.clear()
                target.busy_s = 0.0
            else:
                for field_name, value in document.items():
                    setattr(target, field_name, value)
        return web.json_response({"ok": True})

    async def log(self, request: web.Request) -> web.Response:
        """Return the requests that the targets received."""
        rows = [
            vars(execution)
            for target in self.targets.values()
            for execution in target.log
        ]
        return web.json_response(rows)


async def main() -> None:
    """Run the targets until SIGTERM, then let them leave."""
    host = Host(json.loads(sys.stdin.readline()))
    for target in host.targets.values():
        await target.start()
    app = web.Application()
    app.router.add_post("/control", host.control)
    app.router.add_get("/log", host.log)
    address = await serve(app)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    targets = {name: target.address for name, target in host.targets.items()}
    line = {"address": f"{address[0]}:{address[1]}", "targets": targets}
    print(json.dumps(line), flush=True)
    await stopping.wait()
    await asyncio.gather(*(target.leave() for target in host.targets.values()))


if __name__ == "__main__":
    asyncio.run(main())
