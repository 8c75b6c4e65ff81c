"""Judge: compares what callers were told with what targets ran."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from .deployments import Deployment
from .load import Result


@dataclass
class Verdict:
    """Result of a run.

    Args:
        violations: Broken promises, each as a sentence.
        rows: One row per kind of request.
    """

    violations: list[str] = field(default_factory=list)
    rows: list[dict[str, Any]] = field(default_factory=list)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of unsorted values, or 0."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def judge(
    deployment: Deployment, results: list[Result], executions: list[dict[str, Any]]
) -> Verdict:
    """Check the promises and count outcomes."""
    verdict = Verdict()
    edge_paths = {traffic.path for traffic in deployment.traffic}
    ran: dict[str, int] = Counter()
    keys: dict[str, int] = Counter()
    for execution in executions:
        if execution["path"] in edge_paths and execution["request_id"]:
            ran[execution["request_id"]] += 1
        if execution["key"]:
            keys[execution["key"]] += 1
    _check_once(verdict, results, ran, keys)
    _check_truth(verdict, results, ran)
    _check_answers(verdict, results)
    verdict.rows = _rows(deployment, results)
    return verdict


def _check_once(
    verdict: Verdict, results: list[Result], ran: dict[str, int], keys: dict[str, int]
) -> None:
    for key, count in keys.items():
        if count > 1:
            verdict.violations.append(f"key {key} ran {count} times")
    for result in results:
        request_id = result.arrival.request_id
        if result.arrival.traffic.keyed and ran.get(request_id, 0) > 1:
            verdict.violations.append(f"request {request_id} ran more than once")


def _check_truth(verdict: Verdict, results: list[Result], ran: dict[str, int]) -> None:
    for result in results:
        request_id = result.arrival.request_id
        if result.arrival.traffic.path == "/tinstore/stock":
            continue
        told = [item.split(":")[0] for item in result.outcomes]
        if result.arrival.traffic.keyed:
            settled = told and told[-1] == "not-run"
        else:
            settled = told and all(item in ("not-run", "not-sent") for item in told)
        if settled and ran.get(request_id, 0):
            verdict.violations.append(f"request {request_id} was called not-run, ran")
        if result.outcome == "answered" and not ran.get(request_id, 0):
            verdict.violations.append(f"request {request_id} answered, never ran")


def _check_answers(verdict: Verdict, results: list[Result]) -> None:
    for result in results:
        if result.status == 200 and result.outcome == "answered":
            if not result.whole:
                verdict.violations.append(
                    f"request {result.arrival.request_id} got a partial answer"
                )
            elif not result.own:
                verdict.violations.append(
                    f"request {result.arrival.request_id} got another's answer"
                )


def _rows(deployment: Deployment, results: list[Result]) -> list[dict[str, Any]]:
    by_kind: dict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_kind[result.arrival.traffic.kind].append(result)
    rows = []
    for kind, items in by_kind.items():
        limit_s = deployment.timeouts[kind]
        good = [item for item in items if item.answered_in_time(limit_s)]
        times = [item.latency_s * 1000 for item in good]
        rows.append(
            {
                "kind": kind,
                "sent": len(items),
                "in_time": len(good),
                "answered": sum(1 for item in items if item.outcome == "answered"),
                "not_run": sum(1 for item in items if item.outcome == "not-run"),
                "not_sent": sum(1 for item in items if item.outcome == "not-sent"),
                "unknown": sum(1 for item in items if item.outcome == "unknown"),
                "p50_ms": round(percentile(times, 0.5), 1),
                "p99_ms": round(percentile(times, 0.99), 1),
            }
        )
    return sorted(rows, key=lambda row: row["kind"])


def refusal_order_violations(
    deployment: Deployment, results: list[Result], window_s: float = 1.0
) -> int:
    """Count requests refused for load in a window that admitted less important ones.

    Requests are compared when they need the same first pool.
    """
    refused: dict[tuple[str, int], int] = {}
    admitted: dict[tuple[str, int], int] = {}
    weight: dict[tuple[str, int], int] = Counter()
    for result in results:
        traffic = result.arrival.traffic
        slot = (traffic.path.split("/")[1], int(result.arrival.at / window_s))
        if result.reason in ("overload", "displaced") and result.outcome == "not-run":
            weight[slot] += 1
            refused[slot] = max(refused.get(slot, -1), traffic.importance)
        elif result.outcome == "answered" and result.status == 200:
            admitted[slot] = min(admitted.get(slot, 99), traffic.importance)
    return sum(
        weight[slot]
        for slot, importance in refused.items()
        if admitted.get(slot, 99) < importance
    )


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print rows as an aligned table."""
    if not rows:
        return
    names = list(rows[0])
    widths = [
        max(len(name), *(len(str(row.get(name, ""))) for row in rows)) for name in names
    ]
    print(
        "  ".join(name.rjust(width) for name, width in zip(names, widths, strict=True))
    )
    for row in rows:
        cells = [str(row.get(name, "")) for name in names]
        print(
            "  ".join(
                cell.rjust(width) for cell, width in zip(cells, widths, strict=True)
            )
        )
