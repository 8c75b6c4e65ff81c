"""Measures of an overload run: goodput, oracle, wasted work, recovery."""

import math
from collections import defaultdict
from typing import Any

from .deployments import Deployment, Traffic
from .load import Arrival, Result

BIN_S = 0.5
RECOVERY_WINDOW_S = 1.0
RECOVERY_SHARE = 0.95
SPREAD_MEAN = math.exp(0.25**2 / 2)


def weighted_goodput(
    deployment: Deployment, results: list[Result], start: float, end: float
) -> float:
    """Return the weight answered in time per second, by arrival time."""
    total = sum(
        result.arrival.traffic.weight
        for result in results
        if start <= result.arrival.at < end
        and result.good(deployment.timeouts[result.arrival.traffic.kind])
    )
    return total / (end - start)


def oracle_goodput(
    deployment: Deployment, arrivals: list[Arrival], start: float, end: float
) -> float:
    """Return what the targets could answer per second, most important first."""
    left = {
        service.pool: sum(
            service.slots * service.speeds[index % len(service.speeds)]
            for index in range(service.targets)
        )
        for service in deployment.services
    }
    offered: dict[Traffic, int] = defaultdict(int)
    for arrival in arrivals:
        if start <= arrival.at < end:
            offered[arrival.traffic] += 1
    total = 0.0
    for traffic in sorted(offered, key=lambda item: -item.importance):
        rate = offered[traffic] / (end - start)
        demand = _demand(deployment, traffic.path)
        feasible = min([rate, *(left[pool] / hold for pool, hold in demand.items())])
        for pool, hold in demand.items():
            left[pool] -= feasible * hold
        total += feasible * traffic.weight
    return total


def _demand(deployment: Deployment, path: str) -> dict[str, float]:
    """Return the slot seconds that one request takes at each pool."""
    demand: dict[str, float] = defaultdict(float)
    demand[path.split("/")[1]] += deployment.hold_s(path) * SPREAD_MEAN
    for call in deployment.paths[path].calls:
        for pool, hold in _demand(deployment, call).items():
            demand[pool] += hold
    return demand


def wasted_share(
    deployment: Deployment, results: list[Result], executions: list[dict[str, Any]]
) -> float:
    """Return the share of target time spent on requests that failed."""
    good = {
        result.arrival.request_id
        for result in results
        if result.good(deployment.timeouts[result.arrival.traffic.kind])
    }
    total = wasted = 0.0
    for execution in executions:
        behaviour = deployment.paths.get(execution["path"])
        if behaviour is None:
            continue
        total += behaviour.own_ms
        if execution["request_id"] not in good:
            wasted += behaviour.own_ms
    return wasted / total if total else 0.0


def good_fraction(
    deployment: Deployment, results: list[Result], start: float, end: float
) -> float:
    """Return the weighted share of arrivals that were answered in time."""
    offered = good = 0.0
    for result in results:
        if not start <= result.arrival.at < end:
            continue
        weight = result.arrival.traffic.weight
        offered += weight
        if result.good(deployment.timeouts[result.arrival.traffic.kind]):
            good += weight
    return good / offered if offered else 0.0


def recovery_s(
    deployment: Deployment,
    results: list[Result],
    before: tuple[float, float],
    trigger_end: float,
    run_end: float,
) -> float:
    """Return the seconds until goodput is back; -1 if it did not come back."""
    usual = good_fraction(deployment, results, *before)
    at = trigger_end
    while at + RECOVERY_WINDOW_S <= run_end:
        fraction = good_fraction(deployment, results, at, at + RECOVERY_WINDOW_S)
        if fraction >= RECOVERY_SHARE * usual:
            return round(at - trigger_end, 2)
        at += BIN_S / 2
    return -1.0


def series(
    deployment: Deployment, results: list[Result], duration_s: float
) -> dict[str, dict[str, list[float]]]:
    """Return goodput and refusals per second by kind, in bins."""
    bins = int(duration_s / BIN_S) + 1
    table: dict[str, dict[str, list[float]]] = {}
    for result in results:
        kind = result.arrival.traffic.kind
        rows = table.setdefault(
            kind,
            {"offered": [0.0] * bins, "good": [0.0] * bins, "refused": [0.0] * bins},
        )
        index = int(result.arrival.at / BIN_S)
        rows["offered"][index] += 1 / BIN_S
        if result.good(deployment.timeouts[kind]):
            rows["good"][index] += 1 / BIN_S
        elif result.outcome == "not-run":
            rows["refused"][index] += 1 / BIN_S
    return table
