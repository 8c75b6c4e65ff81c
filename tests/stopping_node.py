"""A process with two nodes of the own interface, of which the first is stopped.

The target of the first runs long requests, that of the second the others.

Writes the addresses of their routers' servers, stops the first node at a line on
standard input, and ends as that node's process would. Last, it writes which requests
ran.
"""

import json
import os
import sys
import threading

from dogwooddock.config.store import ConfigStore
from dogwooddock.errors import TargetError
from dogwooddock.logs import configure_logs
from dogwooddock.tablefiles import build_tables
from dogwooddock.tables import Pool, Route
from dogwooddock.targets.client import TargetAnswer

from . import helpers

BODY_BYTES = 3_000_000
LONG_S = 7.0
TIMEOUT_MS = 20_000
STOCK = Pool("stock", "stock", 40, 40)


class WorkingTarget(helpers.RecordingTarget):
    """Target whose service time and size of answer depend on the path."""

    def __init__(self, work_s):
        super().__init__()
        self._work_s = work_s

    def send(self, method, path, headers, body, timeout_s, canceller):
        self.ran.append((method, path, body))
        cancelled = threading.Event()
        canceller.bind(cancelled.set)
        work_s = LONG_S if path.startswith("/long") else self._work_s
        if cancelled.wait(min(work_s, timeout_s)) or work_s > timeout_s:
            raise TargetError("cancelled or out of time")
        size = BODY_BYTES if path.startswith("/big") else 100
        return TargetAnswer(200, [], b"x" * size, 0.0)


def _serve(node, pool, target):
    node.gate.serve(pool, target)
    node.gate.deps.tickets.pool = pool.name
    node.gossip.set_pool(pool.name)


def main(work_s):
    """Run the process."""
    configure_logs("error")
    routes = [
        Route(name, "shops", "GET", f"/{name}", pool, name, 5, True, TIMEOUT_MS)
        for name, pool in (("long", "orders"), ("short", "stock"), ("big", "stock"))
    ]
    fleet = helpers.MiniFleet(2, served=[])
    version = fleet.nodes[0].config.version
    desired = build_tables(routes, [helpers.POOL, STOCK])
    ConfigStore(fleet.tables, fleet.objects).apply(desired, version, "stop", "test")
    nodes, target = fleet.nodes, WorkingTarget(work_s)
    for node, pool in zip(nodes, (helpers.POOL, STOCK), strict=True):
        _serve(node, pool, target)
    fleet.wait(
        lambda: all(
            node.config.version > version
            and node.selector.candidates("orders")
            and node.selector.candidates("stock")
            for node in nodes
        )
    )
    print(json.dumps([node.router_server.address for node in nodes]), flush=True)
    sys.stdin.readline()
    nodes[0].stop()
    print(json.dumps([path for _, path, _ in target.ran]), flush=True)
    os._exit(0)


if __name__ == "__main__":
    main(float(sys.argv[1]))
