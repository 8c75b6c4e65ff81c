"""A short soak test with real node processes, and tests of its checks."""

import pytest

from bench.mesh_standin import Run
from bench.mutants import MUTANTS, write_mutated_copy
from bench.soak import run_soak
from bench.soakchecks import ClientRequest, SoakHistory, find_violations

# Seeds that once violated a guarantee, each with a line on the cause.
REGRESSIONS: list[int] = []


@pytest.mark.parametrize("seed", [3, *REGRESSIONS])
def test_soak_finds_no_violation(seed, tmp_path):
    report = run_soak(seed, 3.0, tmp_path)
    assert report.violations == []
    assert report.outcomes[200] > 0


def client_request(route="order", status=200, **changes):
    request = ClientRequest("r", route, 0, 1, 10.0, status, True, True, "t", 10.1)
    for name, value in changes.items():
        setattr(request, name, value)
    return request


def run_at(at=10.05, request_id="r", target_id="t"):
    return Run(request_id, "/order/1", b"", "shop", 1000, at, target_id)


@pytest.mark.parametrize(
    ("requests", "runs", "expected"),
    [
        ([client_request()], [run_at()], ""),
        ([client_request()], [run_at(), run_at()], "ran 2 times"),
        ([client_request(route="read")], [run_at(), run_at()], ""),
        ([client_request(status=503)], [run_at()], "reported as not run but ran"),
        ([client_request(status=502)], [run_at()], ""),
        (
            [client_request(body_matches=False)],
            [run_at()],
            "incomplete or of another request",
        ),
        (
            [client_request(id_matches=False)],
            [run_at()],
            "incomplete or of another request",
        ),
        ([client_request(status=404)], [], "answered 404"),
        ([], [run_at()], "no client sent it"),
        ([client_request()], [run_at(13.0, target_id="left")], "after its drain"),
        ([client_request("moving", sent_at=20.0)], [run_at()], "ran in pool shop"),
        ([client_request("moving", sent_at=11.0)], [run_at()], ""),
    ],
)
def test_find_violations_reports_each_kind_of_violation(requests, runs, expected):
    history = SoakHistory(recovered_at=9.0, ended_at=60.0)
    history.pools.update({"t": "shop", "left": "shop"})
    history.record_drain_ack("left", 10.5)
    history.record_config(2, "stock", 11.0)
    for item in requests:
        history.requests[item.request_id] = item
    history.runs.extend(runs)
    found = find_violations(history, 2.0, 2.0)
    found = [line for line in found if "after the faults" not in line]
    if expected:
        assert any(expected in line for line in found)
    else:
        assert found == []


def test_find_violations_reports_excess_retries_and_missing_recovery():
    history = SoakHistory(recovered_at=0.0, ended_at=60.0)
    for number in range(100):
        name = f"r{number}"
        history.requests[name] = client_request("read", 503, request_id=name)
        history.runs += [run_at(10.0 + number / 100, name)] * 2
    found = find_violations(history, 2.0, 2.0)
    assert any("repeats for" in line for line in found)
    assert any("after the faults" in line for line in found)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutants_fit_the_sources(mutant, tmp_path):
    write_mutated_copy(mutant, tmp_path)
