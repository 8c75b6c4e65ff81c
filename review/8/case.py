"""A server leaves while the node beside it stops: requests reach it too late."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
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
    wait_until,
)

DRAIN_S = 2.0
STABILITY_S = 3.0
SLOTS = 10
WORK_S = 1.5
BUDGET_MS = 10_000
HOSTS = ["127.0.61.1", "127.0.61.2"]


async def play(record: Record, folder: Path, trouble: bool) -> int:
    """Start two machines; one has the clients, the other the server that leaves."""
    store = Store()
    await store.start()
    routes = [route("status", "orders", "non_idempotent", "5000ms", "2500ms")]
    store.put("op", "", "config", desired_state(1, routes, ["web", "orders"]))
    base = free_base(HOSTS)
    servers = [
        Server(record, "web", "i-web", SLOTS, lambda target: 0.05),
        Server(record, "orders", "i-orders", SLOTS, lambda target: WORK_S),
    ]
    nodes = []
    for index, (host, server) in enumerate(zip(HOSTS, servers, strict=True)):
        node = Node(record, folder, index, host, base, server, store.address)
        await server.start(host, node.control)
        node.start()
        nodes.append(node)
    try:
        return await leave_while_stopping(record, nodes, servers[1], trouble)
    finally:
        for node in nodes:
            node.end()


async def leave_while_stopping(
    record: Record, nodes: list[Node], server: Server, trouble: bool
) -> int:
    """Stop the node of a busy server, and let the server leave 1.5 s later."""

    async def serves() -> bool:
        answer = await request(nodes[0].outbound, "first", "/status/w", 3000, "POST")
        return answer is not None and answer.status == 200

    if not await wait_until(serves, 20.0):
        record.add("the deployment does not serve")
        return 2
    await asyncio.gather(*(client(record, nodes[0], f"w-{n}") for n in range(SLOTS)))
    await asyncio.sleep(STABILITY_S + 0.5)
    stopped_at = now()
    if trouble:
        nodes[1].signal(signal.SIGTERM)
    await asyncio.sleep(0.9)
    clients = []
    for number in range(28):
        clients.append(asyncio.create_task(client(record, nodes[0], f"r-{number}")))
        await asyncio.sleep(0.005)
    await asyncio.sleep(stopped_at + 1.5 - now())
    acknowledged_at = await server.drain()
    await asyncio.gather(*clients)
    late = 0
    for at, name in server.arrived:
        after_s = at - acknowledged_at
        if after_s > DRAIN_S:
            late += 1
            record.add(
                f"DRAIN broken: {name} reached the server {after_s:.2f} s after the "
                f"acknowledgement, {at - stopped_at:.2f} s after the SIGTERM"
            )
    return 1 if late else 0


async def client(record: Record, node: Node, name: str) -> None:
    """Send one request and note its answer."""
    record.add(f"client sends {name}")
    answer = await request(node.outbound, name, f"/status/{name}", BUDGET_MS, "POST")
    record.add(f"client of {name} gets {answer.status if answer else 'no answer'}")


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
