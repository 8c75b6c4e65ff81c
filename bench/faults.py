"""Keyed requests under faults, one row of figures per fault.

The outcomes that clients received are checked against the logs of the targets.
"""

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
from .claims import ORDERS, ClaimsFleet, deployment_at_rate
from .fleet import Fleet, NodeProcess
from .load import LoadGenerator, RouterPolicy, plan_arrivals
from .results import save_results

RATE = 220.0
DURATION_S = 5.0
FAULT_AT_S = 1.0
FAULT_END_S = 3.5
MIN_REQUESTS = 10_000
PAUSE_S = 4.0
SEED = 23

TimedAction = tuple[float, Callable[[], None]]


@dataclass(frozen=True)
class Case:
    """One fault and the behaviour of the clients during it.

    Args:
        name: Name in the report.
        schedule: Return the timed actions that inject and end the fault; the set takes
            the router addresses that clients are to avoid.
        tickets: Whether keyed requests use tickets.
        retries: Number of resends after a failure.
    """

    name: str
    schedule: Callable[[Fleet, set[str]], list[TimedAction]]
    tickets: bool = False
    retries: int = 2


def _platform_fault(**faults: Any) -> Callable[[Fleet, set[str]], list[TimedAction]]:
    no_faults = {"down": False, "delay_ms": 1.0, "lose_answers": 0.0}
    no_faults["stale_objects"] = False

    def schedule(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
        return [
            (FAULT_AT_S, lambda: fleet.set_faults(**faults)),
            (FAULT_END_S, lambda: fleet.set_faults(**no_faults)),
        ]

    return schedule


def _target_fault(fault: str) -> Callable[[Fleet, set[str]], list[TimedAction]]:
    def schedule(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
        command = fleet.hosts["orders"].command
        return [
            (FAULT_AT_S, lambda: command(name="orders-1", fault=fault)),
            (FAULT_END_S, lambda: command(name="orders-1", fault="")),
        ]

    return schedule


def _crash_twice(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
    command = fleet.hosts["orders"].command
    return [
        (at, lambda: command(name="orders-1", action="crash", down_s=0.5))
        for at in (FAULT_AT_S, FAULT_AT_S + 1.5)
    ]


def _slow_target(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
    command = fleet.hosts["orders"].command
    return [
        (FAULT_AT_S, lambda: command(name="orders-1", slow_factor=200.0)),
        (FAULT_END_S, lambda: command(name="orders-1", slow_factor=1.0)),
    ]


def _pause_node(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
    node = fleet.node("orders-2")

    def pause() -> None:
        excluded.add(node.router)
        os.kill(node.process.pid, signal.SIGSTOP)

    def resume() -> None:
        os.kill(node.process.pid, signal.SIGCONT)
        excluded.discard(node.router)

    return [(FAULT_AT_S, pause), (FAULT_AT_S + PAUSE_S, resume)]


def _kill_and_replace_node(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
    def kill() -> None:
        old = fleet.node("orders-3")
        excluded.add(old.router)
        old.process.kill()

    def replace() -> None:
        replacement = fleet.start_node("orders-3", "zone-a", "orders")
        fleet.wait_for_addresses([replacement])
        fleet.start_host("orders", [replacement])

    return [(FAULT_AT_S, kill), (FAULT_AT_S + 1.0, replace)]


def _drain_node(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
    def stop(node: NodeProcess) -> None:
        excluded.add(node.router)
        node.process.send_signal(signal.SIGTERM)

    return [(FAULT_AT_S, partial(stop, fleet.node("orders-0")))]


def _no_fault(fleet: Fleet, excluded: set[str]) -> list[TimedAction]:
    return []


CASES = (
    Case("none", _no_fault),
    Case("store down", _platform_fault(down=True)),
    Case("store down, tickets", _platform_fault(down=True), tickets=True),
    Case("store slow (1.5 s)", _platform_fault(delay_ms=1500.0)),
    Case("store loses answers", _platform_fault(lose_answers=0.3)),
    Case("object store stale", _platform_fault(stale_objects=True)),
    Case("target crashes twice", _crash_twice),
    Case("target hangs", _target_fault("hang")),
    Case("target answers short", _target_fault("short")),
    Case("target resets", _target_fault("reset")),
    Case("target starts slowly", _slow_target),
    Case("node paused 4 s", _pause_node),
    Case("node paused, tickets", _pause_node, tickets=True),
    Case("node drained", _drain_node),
    Case("node killed, replaced", _kill_and_replace_node),
)


def run_case(fleet: Fleet, case: Case, seed: int) -> dict[str, Any]:
    """Run one case and return its row of figures."""
    deployment = deployment_at_rate(RATE)
    fleet.clear_logs()
    excluded: set[str] = set()

    def routers() -> list[str]:
        return [
            node.router for node in fleet.live_nodes() if node.router not in excluded
        ]

    arrivals = plan_arrivals(deployment.traffic, DURATION_S, lambda _: 1.0, seed)
    policy = RouterPolicy(case.retries, tickets=case.tickets)
    load = LoadGenerator(deployment, routers, policy, seed)
    results = asyncio.run(load.run(arrivals, case.schedule(fleet, excluded)))
    time.sleep(2.5)
    check_report = check_results(deployment, results, fleet.executions())
    row = check_report.rows[0]
    for violation in check_report.violations[:3]:
        print(f"  guarantee violated ({case.name}): {violation}")
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
    """Run every case, each on a fleet of its own, and save the results."""
    rows = []
    for index, case in enumerate(CASES):
        with (
            TemporaryDirectory(prefix="dogwooddock-faults-") as folder,
            ClaimsFleet(ORDERS, Path(folder), seed=SEED) as fleet,
        ):
            rows.append(run_case(fleet, case, SEED + index))
    print_table(rows)
    total = sum(row["sent"] for row in rows)
    violations = sum(row["violations"] for row in rows)
    print(f"{total} keyed requests (minimum {MIN_REQUESTS}), {violations} violations")
    document = {"rows": rows, "total": total, "violations": violations}
    save_results("faults", document)
    return document
