"""The judge must find each kind of broken promise."""

import pytest

from bench.deployments import KALEMTAS
from bench.judge import judge, refusal_order_violations
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
            "was called not-run, ran",
        ),
        (
            [result(BROWSE, "not-run", 503)],
            [execution(BROWSE.path)],
            "was called not-run, ran",
        ),
        ([result(BROWSE, "answered", 200)], [], "answered, never ran"),
        (
            [result(BROWSE, "answered", 200, whole=False)],
            [execution(BROWSE.path)],
            "partial answer",
        ),
        (
            [result(BROWSE, "answered", 200, own=False)],
            [execution(BROWSE.path)],
            "another's answer",
        ),
    ],
)
def test_judge(results, executions, expected):
    violations = judge(KALEMTAS, results, executions).violations
    assert (expected in " ".join(violations)) if expected else not violations


def test_refusal_order():
    refused = result(CONFIRM, "not-run", 503, reason="overload")
    admitted = result(CONFIRM, "answered", 200, "r2")
    assert refusal_order_violations(KALEMTAS, [refused, admitted]) == 0
    lesser = result(BROWSE, "answered", 200, "r2")
    lesser.arrival = Arrival(0.2, type(BROWSE)(**{
        **{name: getattr(BROWSE, name) for name in BROWSE.__dataclass_fields__},
        "path": CONFIRM.path,
    }), "r2")  # fmt: skip
    assert refusal_order_violations(KALEMTAS, [refused, lesser]) == 1
