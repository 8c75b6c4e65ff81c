"""Keyed requests under faults: one row per case, judged from the targets' logs."""

import asyncio
import os
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .checks import check_results, print_table
from .claims import ORDERS, ClaimsFleet, at_rate
from .fleet import Fleet, NodeProcess
from .load import Load, RouterPolicy, plan_arrivals
from .results import save

RATE = 220.0
DURATION_S = 5.0
FAULT_AT_S = 1.0
FAULT_END_S = 3.5
MIN_REQUESTS = 10_000
PAUSE_S = 4.0
SEED = 23

Step = tuple[float, Callable[[], None]]


@dataclass(frozen=True)
class Case:
    """One fault and how the routers behave during it."""

    name: str
    steps: Callable[[Fleet, set[str]], list[Step]]
    tickets: bool = False
    retries: int = 2


def _platform(**faults: Any) -> Callable[[Fleet, set[str]], list[Step]]:
    healed = {"down": False, "delay_ms": 1.0, "lose_answers": 0.0}
    healed["stale_objects"] = False

    def steps(fleet: Fleet, dead: set[str]) -> list[Step]:
        return [
            (FAULT_AT_S, lambda: fleet.faults(**faults)),
            (FAULT_END_S, lambda: fleet.faults(**healed)),
        ]

    return steps


def _target(fault: str) -> Callable[[Fleet, set[str]], list[Step]]:
    def steps(fleet: Fleet, dead: set[str]) -> list[Step]:
        command = fleet.hosts["orders"].command
        return [
            (FAULT_AT_S, lambda: command(name="orders-1", fault=fault)),
            (FAULT_END_S, lambda: command(name="orders-1", fault="")),
        ]

    return steps


def _crash(fleet: Fleet, dead: set[str]) -> list[Step]:
    command = fleet.hosts["orders"].command
    return [
        (at, lambda: command(name="orders-1", action="crash", down_s=0.5))
        for at in (FAULT_AT_S, FAULT_AT_S + 1.5)
    ]


def _slow_start(fleet: Fleet, dead: set[str]) -> list[Step]:
    command = fleet.hosts["orders"].command
    return [
        (FAULT_AT_S, lambda: command(name="orders-1", slow_factor=200.0)),
        (FAULT_END_S, lambda: command(name="orders-1", slow_factor=1.0)),
    ]


def _pause(fleet: Fleet, dead: set[str]) -> list[Step]:
    node = fleet.node("orders-2")

    def pause() -> None:
        dead.add(node.router)
        os.kill(node.process.pid, signal.SIGSTOP)

    def resume() -> None:
        os.kill(node.process.pid, signal.SIGCONT)
        dead.discard(node.router)

    return [(FAULT_AT_S, pause), (FAULT_AT_S + PAUSE_S, resume)]


def _kill_and_replace(fleet: Fleet, dead: set[str]) -> list[Step]:
    def kill() -> None:
        old = fleet.node("orders-3")
        dead.add(old.router)
        old.process.kill()

    def replace() -> None:
        fresh = fleet.start_node("orders-3", "zone-a", "orders")
        fleet.await_nodes([fresh])
        fleet.start_host("orders", [fresh])

    return [(FAULT_AT_S, kill), (FAULT_AT_S + 1.0, replace)]


def _drain(fleet: Fleet, dead: set[str]) -> list[Step]:
    def stop(node: NodeProcess) -> None:
        dead.add(node.router)
        node.process.send_signal(signal.SIGTERM)

    return [(FAULT_AT_S, partial(stop, fleet.node("orders-0")))]


def _nothing(fleet: Fleet, dead: set[str]) -> list[Step]:
    return []


CASES = (
    Case("none", _nothing),
    Case("store down", _platform(down=True)),
    Case("store down, tickets", _platform(down=True), tickets=True),
    Case("store slow (1.5 s)", _platform(delay_ms=1500.0)),
    Case("store loses answers", _platform(lose_answers=0.3)),
    Case("object store stale", _platform(stale_objects=True)),
    Case("target crashes twice", _crash),
    Case("target hangs", _target("hang")),
    Case("target answers short", _target("short")),
    Case("target resets", _target("reset")),
    Case("target starts slowly", _slow_start),
    Case("node paused 4 s", _pause),
    Case("node paused, tickets", _pause, tickets=True),
    Case("node drained", _drain),
    Case("node killed, replaced", _kill_and_replace),
)


def run_case(fleet: Fleet, case: Case, seed: int) -> dict[str, Any]:
    """Run one case and judge it."""
    deployment = at_rate(RATE)
    fleet.clear()
    dead: set[str] = set()

    def routers() -> list[str]:
        return [node.router for node in fleet.alive() if node.router not in dead]

    arrivals = plan_arrivals(deployment.traffic, DURATION_S, lambda _: 1.0, seed)
    policy = RouterPolicy(case.retries, tickets=case.tickets)
    load = Load(deployment, routers, policy, seed)
    results = asyncio.run(load.run(arrivals, case.steps(fleet, dead)))
    time.sleep(2.5)
    check_report = check_results(deployment, results, fleet.executions())
    row = check_report.rows[0]
    for violation in check_report.violations[:3]:
        print(f"  broken promise ({case.name}): {violation}")
    return {
        "case": case.name,
        "sent": row["sent"],
        "tries": sum(result.tries for result in results),
        "answered": row["answered"],
        "not_run": row["not_run"] + row["not_sent"],
        "unknown": row["unknown"],
        "p99_ms": row["p99_ms"],
        "violations": len(check_report.violations),
    }


def main() -> dict[str, Any]:
    """Run every case on a fleet of its own where it loses a node."""
    rows = []
    for index, case in enumerate(CASES):
        with (
            TemporaryDirectory(prefix="dogwooddock-faults-") as folder,
            ClaimsFleet(ORDERS, Path(folder), seed=SEED) as fleet,
        ):
            rows.append(run_case(fleet, case, SEED + index))
    print_table(rows)
    total = sum(row["sent"] for row in rows)
    broken = sum(row["violations"] for row in rows)
    print(f"{total} keyed requests (aim {MIN_REQUESTS}), {broken} violations")
    document = {"rows": rows, "total": total, "violations": broken}
    save("faults", document)
    return document
