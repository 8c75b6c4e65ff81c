"""Requests that a node takes in the last seconds before it exits."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "1"))

from standins import (
    Answer,
    Client,
    Deployment,
    Record,
    Request,
    Server,
    main,
    new_id,
    request_headers,
    route,
)

GRACE_S = 6.0
EXEMPT_S = 3.0
WAIT_S = 6.0
TIMEOUT_MS = 5000
LONG_S = 4.5
SHORT_S = 0.9
PERIOD_S = 0.2
CALM_S = 3.0
# The node's own server begins to work on a long request after the SIGTERM.
LONG_AFTER_S = 0.8


async def play(record: Record, trouble: bool) -> bool:
    """Stop a node whose server is at work; its clients go on."""

    async def serve(
        server: Server, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        server.begin(request)
        await asyncio.sleep(LONG_S if "/long/" in request.target else SHORT_S)
        writer.write(server.success(request, b"done"))

    routes = [
        route("long", "orders", "idempotent", TIMEOUT_MS),
        route("short", "proofs", "idempotent", TIMEOUT_MS),
    ]
    deployment = Deployment(record, routes)
    results: dict[str, tuple[float, float, Answer]] = {}
    try:
        first = await deployment.add("orders", "zone-a", 10, serve)
        second = await deployment.add("proofs", "zone-b", 36, serve)
        await deployment.start()

        async def ask(node_address: tuple[str, int], path: str) -> None:
            client = Client(node_address, record)
            request_id = new_id()
            sent_at = time.monotonic()
            record.note(f"client of {node_address[0]}: sends {request_id} {path}")
            answer = await client.exchange(
                "GET", path, request_headers(request_id, WAIT_S), b"", WAIT_S
            )
            client.close()
            results[request_id] = (sent_at, time.monotonic(), answer)
            record.note(
                f"client of {node_address[0]}: {request_id} gets {answer.status} "
                f"{answer.cause}"
            )

        tasks = []
        began_at = time.monotonic()
        stop_at = began_at + CALM_S
        stopped_at = None
        long_sent = False
        while time.monotonic() < stop_at + GRACE_S:
            now = time.monotonic()
            if now >= stop_at and stopped_at is None:
                stopped_at = now
                if trouble:
                    first.send(signal.SIGTERM)
            if now >= stop_at + LONG_AFTER_S and not long_sent:
                long_sent = True
                tasks.append(asyncio.create_task(ask(second.outbound, "/long/1")))
            tasks.append(asyncio.create_task(ask(first.outbound, "/short/1")))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)
    finally:
        await deployment.close()
    runs = deployment.servers[1].runs
    assert stopped_at is not None
    lost = []
    for request_id, (sent_at, ended_at, answer) in results.items():
        if answer.status or request_id not in runs:
            continue
        after_s = sent_at - stopped_at
        if after_s > EXEMPT_S and ended_at - stopped_at <= GRACE_S + 1.0:
            lost.append(request_id)
            record.note(
                f"LOST: {request_id}, sent {after_s:.2f} s after the SIGTERM, was "
                f"passed on; its connection ended after {ended_at - sent_at:.2f} s"
            )
    if not any(answer.status == 200 for _, _, answer in results.values()):
        raise RuntimeError("no request was served")
    return not lost


if __name__ == "__main__":
    main(Path(__file__).resolve().with_name("record.txt"), play)
