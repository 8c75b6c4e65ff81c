"""Stand-in for the platform's table service and object store, with faults.

``POST /faults`` takes a JSON object with any of the fields of ``Faults``, and
``GET /counts`` returns the number of requests by operation.
"""

import asyncio
import json
import sys
from dataclasses import asdict, dataclass
from random import Random

from aiohttp import web

from dogwooddock.store.base import Write
from dogwooddock.store.memory import MemoryObjectStore, MemoryTableService


@dataclass
class Faults:
    """Active faults of the platform.

    Args:
        down: Whether table and object requests are answered with 503.
        delay_ms: Delay of each table or object request, in milliseconds.
        lose_answers: Share of commits whose answer is lost after the write, 0 to 1.
        stale_objects: Whether reads return the object before the last write.
    """

    down: bool = False
    delay_ms: float = 1.0
    lose_answers: float = 0.0
    stale_objects: bool = False


class PlatformStandin:
    """Table service and object store in memory, served over HTTP."""

    def __init__(self, seed: int):
        self.tables = MemoryTableService()
        self.objects = MemoryObjectStore()
        self.previous_objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.rng = Random(seed)
        self.request_counts: dict[str, int] = {}

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/tables/{table}/{verb}", self.run_table_operation)
        app.router.add_get("/objects/{name:.+}", self.get_object)
        app.router.add_put("/objects/{name:.+}", self.put_object)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/counts", self.get_counts)
        return app

    async def _apply_faults(self, operation: str) -> web.Response | None:
        self.request_counts[operation] = self.request_counts.get(operation, 0) + 1
        if self.faults.down:
            return web.Response(status=503)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        return None

    async def run_table_operation(self, request: web.Request) -> web.StreamResponse:
        """Read, scan or commit rows."""
        table, operation = request.match_info["table"], request.match_info["verb"]
        body = json.loads(await request.read())
        error_response = await self._apply_faults(f"{table}/{operation}")
        if error_response is not None:
            return error_response
        rows: list
        if operation == "read":
            rows = self.tables.read(table, body["keys"])
        elif operation == "scan":
            rows = self.tables.scan(table, body["after"], body["limit"])
        else:
            writes = [Write(**write) for write in body["writes"]]
            rows = self.tables.commit(table, writes, body["atomic"])
            if self.rng.random() < self.faults.lose_answers:
                assert request.transport is not None
                request.transport.abort()
        return web.json_response([asdict(row) for row in rows])

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object, or its previous version if reads are stale."""
        error_response = await self._apply_faults("objects/get")
        if error_response is not None:
            return error_response
        name = request.match_info["name"]
        data = self.objects.get(name)
        if self.faults.stale_objects:
            data = self.previous_objects.get(name)
        return web.Response(status=200 if data else 404, body=data or b"")

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        error_response = await self._apply_faults("objects/put")
        if error_response is not None:
            return error_response
        name = request.match_info["name"]
        previous = self.objects.get(name)
        if previous is not None:
            self.previous_objects[name] = previous
        self.objects.put(name, await request.read())
        return web.Response()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Change the given faults and return all of them."""
        for name, value in json.loads(await request.read()).items():
            setattr(self.faults, name, value)
        return web.json_response(asdict(self.faults))

    async def get_counts(self, request: web.Request) -> web.Response:
        """Return the number of requests by operation."""
        return web.json_response(self.request_counts)


async def serve(app: web.Application) -> tuple[str, int]:
    """Serve an application on a free loopback port; return the address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=5.0)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, backlog=1024)
    await site.start()
    return runner.addresses[0][:2]


async def main() -> None:
    """Print the address and serve until killed."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    host, port = await serve(PlatformStandin(seed).app())
    print(json.dumps({"address": f"{host}:{port}"}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
