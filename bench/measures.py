"""Metrics of an overload run: goodput, its upper bound, wasted work and recovery."""

import math
from collections import defaultdict
from typing import Any

from .deployments import Deployment, Traffic
from .load import Arrival, Result

BIN_S = 0.5
RECOVERY_WINDOW_S = 1.0
RECOVERED_FRACTION = 0.95
LOGNORMAL_MEAN = math.exp(0.25**2 / 2)


def weighted_goodput(
    deployment: Deployment, results: list[Result], start: float, end: float
) -> float:
    """Return the weight of the requests answered in time, per second.

    Counts the requests that arrived between start and end, in seconds.
    """
    total = sum(
        result.arrival.traffic.weight
        for result in results
        if start <= result.arrival.at < end
        and result.answered_in_time(deployment.timeouts[result.arrival.traffic.kind])
    )
    return total / (end - start)


def oracle_goodput(
    deployment: Deployment, arrivals: list[Arrival], start: float, end: float
) -> float:
    """Return the weighted goodput of an ideal scheduler, per second.

    It gives the slots of the targets to the most important requests first.
    """
    free_slots = {
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
        demand = _slot_seconds(deployment, traffic.path)
        feasible = min(
            [rate, *(free_slots[pool] / slot_s for pool, slot_s in demand.items())]
        )
        for pool, slot_s in demand.items():
            free_slots[pool] -= feasible * slot_s
        total += feasible * traffic.weight
    return total


def _slot_seconds(deployment: Deployment, path: str) -> dict[str, float]:
    """Return the mean slot time that one request takes at each pool, in seconds."""
    demand: dict[str, float] = defaultdict(float)
    demand[path.split("/")[1]] += deployment.holding_time_s(path) * LOGNORMAL_MEAN
    for call in deployment.paths[path].calls:
        for pool, slot_s in _slot_seconds(deployment, call).items():
            demand[pool] += slot_s
    return demand


def wasted_fraction(
    deployment: Deployment, results: list[Result], executions: list[dict[str, Any]]
) -> float:
    """Return the share of service time spent on requests not answered in time."""
    in_time = {
        result.arrival.request_id
        for result in results
        if result.answered_in_time(deployment.timeouts[result.arrival.traffic.kind])
    }
    total = wasted = 0.0
    for execution in executions:
        behaviour = deployment.paths.get(execution["path"])
        if behaviour is None:
            continue
        total += behaviour.own_ms
        if execution["request_id"] not in in_time:
            wasted += behaviour.own_ms
    return wasted / total if total else 0.0


def in_time_fraction(
    deployment: Deployment, results: list[Result], start: float, end: float
) -> float:
    """Return the weighted share of requests, by arrival, that were answered in time."""
    offered = in_time = 0.0
    for result in results:
        if not start <= result.arrival.at < end:
            continue
        weight = result.arrival.traffic.weight
        offered += weight
        if result.answered_in_time(deployment.timeouts[result.arrival.traffic.kind]):
            in_time += weight
    return in_time / offered if offered else 0.0


def recovery_s(
    deployment: Deployment,
    results: list[Result],
    before: tuple[float, float],
    trigger_end: float,
    run_end: float,
) -> float:
    """Return the seconds from the end of the trigger until goodput has recovered.

    Goodput has recovered when the weighted share of requests answered in time reaches
    95 % of its value before the trigger, in a window of 1 s. Returns -1 if that does
    not happen before the end of the run.
    """
    baseline = in_time_fraction(deployment, results, *before)
    at = trigger_end
    while at + RECOVERY_WINDOW_S <= run_end:
        fraction = in_time_fraction(deployment, results, at, at + RECOVERY_WINDOW_S)
        if fraction >= RECOVERED_FRACTION * baseline:
            return round(at - trigger_end, 2)
        at += BIN_S / 2
    return -1.0


def time_series(
    deployment: Deployment, results: list[Result], duration_s: float
) -> dict[str, dict[str, list[float]]]:
    """Return offered, answered and refused requests per second, in time bins."""
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
        if result.answered_in_time(deployment.timeouts[kind]):
            rows["good"][index] += 1 / BIN_S
        elif result.outcome == "not-run":
            rows["refused"][index] += 1 / BIN_S
    return table
