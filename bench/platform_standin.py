"""Stand-in for the platform's table service and object store, with faults.

``POST /faults`` takes a JSON object with any of ``down``, ``delay_ms``,
``lose_answers`` (share of commits whose answer is lost after the write),
``stale_objects``.
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
    """Present faults of the platform."""

    down: bool = False
    delay_ms: float = 1.0
    lose_answers: float = 0.0
    stale_objects: bool = False


class PlatformStandin:
    """Table service and object store over HTTP."""

    def __init__(self, seed: int):
        self.tables = MemoryTableService()
        self.objects = MemoryObjectStore()
        self.older: dict[str, bytes] = {}
        self.faults = Faults()
        self.rng = Random(seed)
        self.requests: dict[str, int] = {}

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/tables/{table}/{verb}", self.table)
        app.router.add_get("/objects/{name:.+}", self.get_object)
        app.router.add_put("/objects/{name:.+}", self.put_object)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/counts", self.counts)
        return app

    async def _impose(self, cause: str) -> web.Response | None:
        self.requests[cause] = self.requests.get(cause, 0) + 1
        if self.faults.down:
            return web.Response(status=503)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        return None

    async def table(self, request: web.Request) -> web.StreamResponse:
        """Run a table operation."""
        table, verb = request.match_info["table"], request.match_info["verb"]
        body = json.loads(await request.read())
        refused = await self._impose(f"{table}/{verb}")
        if refused is not None:
            return refused
        rows: list
        if verb == "read":
            rows = self.tables.read(table, body["keys"])
        elif verb == "scan":
            rows = self.tables.scan(table, body["after"], body["limit"])
        else:
            writes = [Write(**write) for write in body["writes"]]
            rows = self.tables.commit(table, writes, body["atomic"])
            if self.rng.random() < self.faults.lose_answers:
                assert request.transport is not None
                request.transport.abort()
        return web.json_response([asdict(row) for row in rows])

    async def get_object(self, request: web.Request) -> web.Response:
        """Return a blob, an older one if stale reads are on."""
        refused = await self._impose("objects/get")
        if refused is not None:
            return refused
        name = request.match_info["name"]
        data = self.objects.get(name)
        if self.faults.stale_objects:
            data = self.older.get(name)
        return web.Response(status=200 if data else 404, body=data or b"")

    async def put_object(self, request: web.Request) -> web.Response:
        """Store a blob."""
        refused = await self._impose("objects/put")
        if refused is not None:
            return refused
        name = request.match_info["name"]
        earlier = self.objects.get(name)
        if earlier is not None:
            self.older[name] = earlier
        self.objects.put(name, await request.read())
        return web.Response()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Change the present faults."""
        for name, value in json.loads(await request.read()).items():
            setattr(self.faults, name, value)
        return web.json_response(asdict(self.faults))

    async def counts(self, request: web.Request) -> web.Response:
        """Return the requests by cause."""
        return web.json_response(self.requests)


async def serve(app: web.Application) -> tuple[str, int]:
    """Serve an application on a port of the system's choice."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=5.0)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, backlog=1024)
    await site.start()
    return runner.addresses[0][:2]


async def main() -> None:
    """Serve until killed."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    host, port = await serve(PlatformStandin(seed).app())
    print(json.dumps({"address": f"{host}:{port}"}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
