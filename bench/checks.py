"""Compare the answers that callers got with the requests that targets ran."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from .deployments import Deployment
from .load import Result


@dataclass
class CheckReport:
    """Result of the checks of one run.

    Args:
        violations: Violations of the guarantees, one sentence each.
        rows: Counts and latencies, one row per kind of request.
    """

    violations: list[str] = field(default_factory=list)
    rows: list[dict[str, Any]] = field(default_factory=list)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of unsorted values, or 0 if there are none.

    Args:
        values: The values, in any order.
        fraction: The percentile as a fraction, 0 to 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def check_results(
    deployment: Deployment, results: list[Result], executions: list[dict[str, Any]]
) -> CheckReport:
    """Check the guarantees of a run and summarize its outcomes.

    Args:
        deployment: Deployment that served the requests.
        results: Client requests and their answers.
        executions: Requests that targets ran, with path, request id and key.
    """
    report = CheckReport()
    edge_paths = {traffic.path for traffic in deployment.traffic}
    run_counts: dict[str, int] = Counter()
    key_counts: dict[str, int] = Counter()
    for execution in executions:
        if execution["path"] in edge_paths and execution["request_id"]:
            run_counts[execution["request_id"]] += 1
        if execution["key"]:
            key_counts[execution["key"]] += 1
    _check_single_execution(report, results, run_counts, key_counts)
    _check_outcomes(report, results, run_counts)
    _check_bodies(report, results)
    report.rows = _summarize(deployment, results)
    return report


def _check_single_execution(
    report: CheckReport,
    results: list[Result],
    run_counts: dict[str, int],
    key_counts: dict[str, int],
) -> None:
    for key, count in key_counts.items():
        if count > 1:
            report.violations.append(f"key {key} ran {count} times")
    for result in results:
        request_id = result.arrival.request_id
        if result.arrival.traffic.keyed and run_counts.get(request_id, 0) > 1:
            report.violations.append(f"request {request_id} ran more than once")


def _check_outcomes(
    report: CheckReport, results: list[Result], run_counts: dict[str, int]
) -> None:
    for result in results:
        request_id = result.arrival.request_id
        if result.arrival.traffic.path == "/tinstore/stock":
            continue
        outcomes = [item.split(":")[0] for item in result.outcomes]
        if result.arrival.traffic.keyed:
            reported_not_run = outcomes and outcomes[-1] == "not-run"
        else:
            reported_not_run = outcomes and all(
                item in ("not-run", "not-sent") for item in outcomes
            )
        if reported_not_run and run_counts.get(request_id, 0):
            report.violations.append(
                f"request {request_id} was reported not-run but ran"
            )
        if result.outcome == "answered" and not run_counts.get(request_id, 0):
            report.violations.append(f"request {request_id} was answered but never ran")


def _check_bodies(report: CheckReport, results: list[Result]) -> None:
    for result in results:
        if result.status == 200 and result.outcome == "answered":
            if not result.whole:
                report.violations.append(
                    f"request {result.arrival.request_id} got a partial answer"
                )
            elif not result.own:
                report.violations.append(
                    f"request {result.arrival.request_id} got another request's answer"
                )


def _summarize(deployment: Deployment, results: list[Result]) -> list[dict[str, Any]]:
    by_kind: dict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_kind[result.arrival.traffic.kind].append(result)
    rows = []
    for kind, items in by_kind.items():
        limit_s = deployment.timeouts[kind]
        in_time = [item for item in items if item.answered_in_time(limit_s)]
        times = [item.latency_s * 1000 for item in in_time]
        rows.append(
            {
                "kind": kind,
                "sent": len(items),
                "in_time": len(in_time),
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
    """Count refusals for load in time windows that admitted a less important request.

    Only requests whose first call goes to the same pool are compared.
    """
    refused: dict[tuple[str, int], int] = {}
    admitted: dict[tuple[str, int], int] = {}
    refused_count: dict[tuple[str, int], int] = Counter()
    for result in results:
        traffic = result.arrival.traffic
        window = (traffic.path.split("/")[1], int(result.arrival.at / window_s))
        if result.reason in ("overload", "displaced") and result.outcome == "not-run":
            refused_count[window] += 1
            refused[window] = max(refused.get(window, -1), traffic.importance)
        elif result.outcome == "answered" and result.status == 200:
            admitted[window] = min(admitted.get(window, 99), traffic.importance)
    return sum(
        refused_count[window]
        for window, importance in refused.items()
        if admitted.get(window, 99) < importance
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
