"""Overload scenarios with baselines, as a table, JSON and plots."""

import argparse
import asyncio
import json
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .checks import check_results, print_table, refusal_order_violations
from .deployments import AUTHORITY, KALEMTAS, Deployment
from .fleet import Fleet
from .load import LoadGenerator, Result, RouterPolicy, plan_arrivals
from .measures import (
    in_time_fraction,
    oracle_goodput,
    recovery_s,
    time_series,
    wasted_fraction,
    weighted_goodput,
)
from .results import RESULTS, save_results

SEED = 11
WARM_UP_S = 4.0
POLICIES: dict[str, tuple[str, ...]] = {
    "dogwooddock": ("dogwooddock",),
    "static": ("bench.baselines", "static"),
    "none": ("bench.baselines", "none"),
}

Actions = Callable[[Fleet, set[str]], list[tuple[float, Callable[[], None]]]]


@dataclass(frozen=True)
class Scenario:
    """One overload scenario.

    Args:
        name: Name in reports.
        deployment: Deployment to run.
        trigger: Start and end of the surge or fault, in seconds.
        duration_s: Length of the load, in seconds.
        surge: Load factor during the trigger.
        retries: Resends of the routers after a failure, without a pause.
        actions: Return the faults to inject, with their times; the set takes the router
            addresses that clients are to avoid.
        tickets: Whether routers use tickets for keyed requests.
        policies: Policies to run it with.
    """

    name: str
    deployment: Deployment
    trigger: tuple[float, float]
    duration_s: float
    surge: float = 1.0
    retries: int = 0
    actions: Actions | None = None
    tickets: bool = False
    policies: tuple[str, ...] = ("dogwooddock",)

    def factor(self, at: float) -> float:
        """Return the load factor at a time in seconds."""
        start, end = self.trigger
        return self.surge if start <= at < end else 1.0


def _slow_down(pool: str, factor: float) -> Actions:
    def actions(
        fleet: Fleet, excluded: set[str]
    ) -> list[tuple[float, Callable[[], None]]]:
        host = fleet.hosts[pool]
        return [
            (5.0, lambda: host.command(slow_factor=factor)),
            (25.0, lambda: host.command(slow_factor=1.0)),
        ]

    return actions


def _slow_down_in_surge(
    fleet: Fleet, excluded: set[str]
) -> list[tuple[float, Callable[[], None]]]:
    host = fleet.hosts["proofs"]
    return [
        (5.0, lambda: host.command(slow_factor=10.0)),
        (15.0, lambda: host.command(slow_factor=1.0)),
    ]


def _store_outage(
    fleet: Fleet, excluded: set[str]
) -> list[tuple[float, Callable[[], None]]]:
    return [
        (5.0, lambda: fleet.set_faults(down=True)),
        (15.0, lambda: fleet.set_faults(down=False)),
    ]


def _kill_zone(
    fleet: Fleet, excluded: set[str]
) -> list[tuple[float, Callable[[], None]]]:
    zone = fleet.deployment.zones[0]

    def kill() -> None:
        for node in fleet.live_nodes():
            if node.zone == zone:
                excluded.add(node.router)
                fleet.hosts[node.pool].command(
                    name=node.name, action="crash", down_s=60
                )
                node.process.kill()

    return [(5.0, kill)]


def _replace_nodes(
    fleet: Fleet, excluded: set[str]
) -> list[tuple[float, Callable[[], None]]]:
    def replace(index: int) -> None:
        name = f"jobs-{index}"
        old = fleet.node(name)
        excluded.add(old.router)
        fleet.hosts["jobs"].command(name=name, action="leave")
        old.process.send_signal(signal.SIGTERM)
        replacement = fleet.start_node(name, old.zone, "jobs")
        fleet.wait_for_addresses([replacement])
        fleet.start_host("jobs", [replacement], cold_start_s=2.0)

    return [(5.0 + 4.0 * index, partial(replace, index)) for index in range(4)]


def _surge(
    name: str, deployment: Deployment, factor: float, *policies: str
) -> Scenario:
    return Scenario(
        name, deployment, (5.0, 15.0), 20.0, surge=factor, retries=3,
        policies=("dogwooddock", *policies),
    )  # fmt: skip


SCENARIOS = (
    _surge("surge-x2", KALEMTAS, 2.0),
    _surge("surge-x5", KALEMTAS, 5.0, "static", "none"),
    _surge("surge-x10", KALEMTAS, 10.0),
    Scenario(
        "slow-proofs", KALEMTAS, (5.0, 25.0), 35.0, retries=3,
        actions=_slow_down("proofs", 10.0), policies=("dogwooddock", "static", "none"),
    ),
    Scenario(
        "outage-in-surge", KALEMTAS, (5.0, 15.0), 20.0, surge=3.0,
        actions=_store_outage, tickets=True,
    ),
    Scenario(
        "zone-gone", KALEMTAS, (5.0, 6.0), 20.0, retries=1, actions=_kill_zone
    ),
    Scenario("rolling", KALEMTAS, (5.0, 21.0), 27.0, retries=1, actions=_replace_nodes),
    Scenario(
        "surge-and-slow", KALEMTAS, (5.0, 15.0), 25.0, surge=3.0, retries=3,
        actions=_slow_down_in_surge,
    ),
    _surge("authority-x5", AUTHORITY, 5.0, "static", "none"),
    Scenario(
        "authority-slow", AUTHORITY, (5.0, 25.0), 35.0, retries=3,
        actions=_slow_down("tinstore", 10.0), policies=("dogwooddock", "none"),
    ),
)  # fmt: skip


def run_scenario(scenario: Scenario, policy: str) -> dict[str, Any]:
    """Run a scenario under a policy and return its report."""
    deployment = scenario.deployment
    with TemporaryDirectory(prefix="dogwooddock-overload-") as folder:
        command = POLICIES[policy]
        with Fleet(deployment, Path(folder), seed=SEED, command=command) as fleet:
            _warm_up(fleet)
            arrivals = plan_arrivals(
                deployment.traffic, scenario.duration_s, scenario.factor, SEED
            )
            excluded: set[str] = set()

            def routers() -> list[str]:
                return [
                    node.router for node in fleet.nodes if node.router not in excluded
                ]

            actions = scenario.actions(fleet, excluded) if scenario.actions else []
            load = LoadGenerator(
                deployment,
                routers,
                RouterPolicy(scenario.retries, scenario.tickets),
                SEED,
            )
            results = asyncio.run(load.run(arrivals, actions))
            executions = fleet.executions()
    report = _report(scenario, policy, results, executions)
    table = time_series(deployment, results, scenario.duration_s)
    report["series"] = table
    _plot(scenario, policy, table)
    return report


def _warm_up(fleet: Fleet) -> None:
    deployment = fleet.deployment
    arrivals = plan_arrivals(deployment.traffic, WARM_UP_S, lambda _: 1.0, SEED + 1)
    load = LoadGenerator(deployment, fleet.routers, RouterPolicy(), SEED + 1)
    asyncio.run(load.run(arrivals, []))
    fleet.clear_logs()


def _report(
    scenario: Scenario,
    policy: str,
    results: list[Result],
    executions: list[dict[str, Any]],
) -> dict[str, Any]:
    deployment = scenario.deployment
    start, end = scenario.trigger
    check_report = check_results(deployment, results, executions)
    arrivals = [result.arrival for result in results]
    goodput = weighted_goodput(deployment, results, start, end)
    oracle = oracle_goodput(deployment, arrivals, start, end)
    most_important = max(deployment.traffic, key=lambda item: item.importance)
    critical = [item for item in results if item.arrival.traffic is most_important]
    refused = [
        item
        for item in critical
        if item.outcome == "not-run" and item.reason in ("overload", "displaced")
    ]
    in_time = sum(
        1
        for item in critical
        if item.answered_in_time(deployment.timeouts[most_important.kind])
    )
    return {
        "scenario": scenario.name,
        "policy": policy,
        "sent": len(results),
        "goodput": round(goodput, 1),
        "of_oracle_%": round(100 * goodput / oracle, 1) if oracle else 0,
        "wasted_%": round(100 * wasted_fraction(deployment, results, executions), 1),
        "recovery_s": recovery_s(
            deployment, results, (1.0, start), end, scenario.duration_s
        ),
        "before_%": round(100 * in_time_fraction(deployment, results, 1.0, start), 1),
        f"{'important'}_%": round(100 * in_time / max(1, len(critical)), 1),
        "imp_refused": len(refused),
        "order": refusal_order_violations(deployment, results),
        "violations": len(check_report.violations),
        "rows": check_report.rows,
        "broken": check_report.violations[:5],
    }


def _plot(scenario: Scenario, policy: str, table: dict[str, Any]) -> None:
    from .plots import plot_run

    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"overload-{scenario.name}-{policy}.png"
    plot_run(f"{scenario.name}, policy {policy}", table, scenario.trigger, path)


SUMMARY_COLUMNS = (
    "scenario",
    "policy",
    "sent",
    "goodput",
    "of_oracle_%",
    "wasted_%",
    "recovery_s",
    "before_%",
    "important_%",
    "imp_refused",
    "order",
    "violations",
)


def main(names: list[str] | None = None, policies: list[str] | None = None) -> None:
    """Run scenarios, print a summary and save the reports.

    Args:
        names: Names of scenarios; all if empty.
        policies: Names of policies; all of each scenario if empty.
    """
    reports = []
    for scenario in SCENARIOS:
        if names and scenario.name not in names:
            continue
        for policy in scenario.policies:
            if policies and policy not in policies:
                continue
            started = time.monotonic()
            report = run_scenario(scenario, policy)
            reports.append(report)
            seconds = time.monotonic() - started
            print(f"{scenario.name} under {policy}: {seconds:.0f} s", file=sys.stderr)
            for line in report["broken"]:
                print(f"  guarantee violated: {line}")
    print_table(
        [{name: report[name] for name in SUMMARY_COLUMNS} for report in reports]
    )
    save_results("overload", {"reports": reports})


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--policy", action="append")
    parser.add_argument("--rows", action="store_true")
    options = parser.parse_args()
    main(options.names, options.policy)
    if options.rows:
        for item in json.loads((RESULTS / "overload.json").read_text())["reports"]:
            print(item["scenario"], item["policy"])
            print_table(item["rows"])
