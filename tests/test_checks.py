"""The checks of a run report each kind of violated guarantee."""

import pytest

from bench.checks import check_results, refusal_order_violations
from bench.deployments import KALEMTAS
from bench.load import Arrival, Result

BROWSE, CONFIRM = KALEMTAS.traffic[2], KALEMTAS.traffic[0]


def result(traffic, outcome, status, request_id="r1", at=0.1, **fields):
    item = Result(Arrival(at, traffic, request_id), ended_at=at + 0.1)
    item.status, item.outcome = status, outcome
    item.whole = item.own = True
    for name, value in fields.items():
        setattr(item, name, value)
    item.outcomes = [f"{outcome}:{item.reason}:{status}"]
    return item


def execution(path, request_id="r1", key=""):
    return {"path": path, "request_id": request_id, "key": key}


@pytest.mark.parametrize(
    ("results", "executions", "expected"),
    [
        ([result(CONFIRM, "answered", 200)], [execution(CONFIRM.path, key="k")], ""),
        (
            [result(CONFIRM, "answered", 200)],
            [execution(CONFIRM.path, key="k")] * 2,
            "ran 2 times",
        ),
        (
            [result(CONFIRM, "not-run", 503)],
            [execution(CONFIRM.path, key="k")],
            "was reported not-run but ran",
        ),
        (
            [result(BROWSE, "not-run", 503)],
            [execution(BROWSE.path)],
            "was reported not-run but ran",
        ),
        ([result(BROWSE, "answered", 200)], [], "was answered but never ran"),
        (
            [result(BROWSE, "answered", 200, whole=False)],
            [execution(BROWSE.path)],
            "partial answer",
        ),
        (
            [result(BROWSE, "answered", 200, own=False)],
            [execution(BROWSE.path)],
            "another request's answer",
        ),
    ],
)
def test_check_results_reports_each_kind_of_violation(results, executions, expected):
    violations = check_results(KALEMTAS, results, executions).violations
    assert (expected in " ".join(violations)) if expected else not violations


def test_refusal_of_a_more_important_request_is_counted():
    refused = result(CONFIRM, "not-run", 503, reason="overload")
    admitted = result(CONFIRM, "answered", 200, "r2")
    assert refusal_order_violations(KALEMTAS, [refused, admitted]) == 0
    less_important = result(BROWSE, "answered", 200, "r2")
    less_important.arrival = Arrival(0.2, type(BROWSE)(**{
        **{name: getattr(BROWSE, name) for name in BROWSE.__dataclass_fields__},
        "path": CONFIRM.path,
    }), "r2")  # fmt: skip
    assert refusal_order_violations(KALEMTAS, [refused, less_important]) == 1
