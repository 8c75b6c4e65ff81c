"""A planned stop ends in a crash, and requests in flight end without an answer."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
    GROWN_BOUNDS,
    Node,
    Record,
    Server,
    Store,
    desired_state,
    free_base,
    now,
    request,
    route,
    run_case,
    upload_in_parts,
    wait_until,
)

MEMORY_MB = 200
STABILITY_S = 3.0
GRACE_S = 6.0
WORK_S = 1.2
BUDGET_MS = 5004
UPLOAD_BYTES = 20_000
HOSTS = ["127.0.63.1", "127.0.63.2"]


async def play(record: Record, folder: Path, trouble: bool) -> int:
    """Start two machines; one has the clients, the other the server."""
    store = Store()
    await store.start()
    routes = [route("confirm", "jobs", "non_idempotent", "5000ms", "2002ms")]
    store.put("op", "", "config", desired_state(1, routes, ["web", "jobs"]))
    base = free_base(HOSTS)
    servers = [
        Server(record, "web", "i-web", 18, lambda target: 0.05),
        Server(record, "jobs", "i-jobs", 22, lambda target: WORK_S),
    ]
    nodes = []
    limits = {"cpu_share": 0.86, "cores": 2, "memory_mb": MEMORY_MB, "max_fds": 4100}
    for index, (host, server) in enumerate(zip(HOSTS, servers, strict=True)):
        node = Node(
            record,
            folder,
            index,
            host,
            base,
            server,
            store.address,
            limits=limits,
            bounds=GROWN_BOUNDS,
        )
        await server.start(host, node.control)
        node.start()
        nodes.append(node)
    try:
        return await stop_under_load(record, nodes[0], servers[1], trouble)
    finally:
        for node in nodes:
            node.end()


async def stop_under_load(
    record: Record, node: Node, server: Server, trouble: bool
) -> int:
    """Send uploads for 16 s; stop the node of the clients after 14 s."""

    async def serves() -> bool:
        answer = await request(node.outbound, "first", "/confirm/f", 3000, "POST")
        return answer is not None and answer.status == 200

    if not await wait_until(serves, 20.0):
        record.add("the deployment does not serve")
        return 2
    await asyncio.sleep(STABILITY_S + 0.5)
    began_at, number, jobs, stopped_at = now(), 0, [], None
    while now() < began_at + 16.0:
        number += 1
        jobs.append(asyncio.create_task(client(record, node, f"r-{number}")))
        if number in (5, 6, 7):
            name = f"chunked-{number}"
            path = f"/confirm/{name}"
            send = upload_in_parts(record, node.outbound, name, path, BUDGET_MS)
            jobs.append(asyncio.create_task(send))
        if trouble and stopped_at is None and now() > began_at + 14.0:
            node.signal(signal.SIGTERM)
            stopped_at = now()
        await asyncio.sleep(0.2)
    results = await asyncio.gather(*jobs)
    if stopped_at is not None:
        await asyncio.sleep(max(0.0, stopped_at + GRACE_S - now()))
    return judge(record, node, server, results, stopped_at)


def judge(
    record: Record,
    node: Node,
    server: Server,
    results: list[tuple],
    stopped_at: float | None,
) -> int:
    """Count what a server ran and whose connection ended without an answer."""
    ran = {name for _, name, _ in server.ran}
    lost = 0
    for result in results:
        if len(result) == 2:
            continue
        name, status, sent_at, ended_at = result
        in_time = ended_at - sent_at < BUDGET_MS / 1000 - 0.5
        if status == 0 and name in ran and in_time and stopped_at is not None:
            lost += 1
            record.add(
                f"LOST broken: {name} was passed on to a server, and its connection "
                f"ended without an answer {ended_at - stopped_at:.2f} s after the "
                "SIGTERM"
            )
    code = node.process.poll() if node.process is not None else None
    record.add(f"exit code of the stopped node: {code}")
    for line in node.log.read_text(errors="replace").splitlines():
        if "OSError" in line or "in close_idle" in line or "in write_eof" in line:
            record.add(f"log of {node.name}: {line.strip()[-200:]}")
    return 1 if lost else 0


async def client(record: Record, node: Node, name: str) -> tuple:
    """Send an upload with a length; return name, status, and times."""
    sent_at = now()
    record.add(f"client sends {name}, {UPLOAD_BYTES} bytes with a length")
    body = b"y" * UPLOAD_BYTES
    path = f"/confirm/{name}"
    answer = await request(node.outbound, name, path, BUDGET_MS, "POST", body)
    status = answer.status if answer else 0
    record.add(f"client of {name} gets {status or 'no answer: connection closed'}")
    return name, status, sent_at, now()


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
