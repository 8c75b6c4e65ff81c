"""A short soak of real node processes, and that its judge can fail."""

import pytest

from bench.mesh_standin import Run
from bench.mutants import MUTANTS, make_copy
from bench.soak import run_soak
from bench.soakjudge import Attempt, SoakHistory, find_violations

# Seeds that once broke a promise, with a line on the cause each.
REGRESSIONS: list[int] = []


@pytest.mark.parametrize("seed", [3, *REGRESSIONS])
def test_no_promise_is_broken(seed, tmp_path):
    report = run_soak(seed, 3.0, tmp_path)
    assert report.violations == []
    assert report.outcomes[200] > 0


def attempt(route="order", status=200, **changes):
    made = Attempt("r", route, 0, 1, 10.0, status, True, True, "t", 10.1)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def run_at(at=10.05, request_id="r", target_id="t"):
    return Run(request_id, "/order/1", b"", "shop", 1000, at, target_id)


@pytest.mark.parametrize(
    ("attempts", "runs", "word"),
    [
        ([attempt()], [run_at()], ""),
        ([attempt()], [run_at(), run_at()], "ran 2 times"),
        ([attempt(route="read")], [run_at(), run_at()], ""),
        ([attempt(status=503)], [run_at()], "said not to have run"),
        ([attempt(status=502)], [run_at()], ""),
        ([attempt(whole=False)], [run_at()], "not its own"),
        ([attempt(own=False)], [run_at()], "not its own"),
        ([attempt(status=404)], [], "denied"),
        ([], [run_at()], "nobody sent it"),
        ([attempt()], [run_at(13.0, target_id="left")], "after its drain"),
        ([attempt("moving", sent_at=20.0)], [run_at()], "ran in pool shop"),
        ([attempt("moving", sent_at=11.0)], [run_at()], ""),
    ],
)
def test_judge_finds_each_kind_of_broken_promise(attempts, runs, word):
    history = SoakHistory(calm_from=9.0, ended_at=60.0)
    history.pools.update({"t": "shop", "left": "shop"})
    history.note_drained("left", 10.5)
    history.note_config(2, "stock", 11.0)
    for item in attempts:
        history.attempts[item.request_id] = item
    history.runs.extend(runs)
    found = find_violations(history, 2.0, 2.0)
    found = [line for line in found if "after the faults" not in line]
    if word:
        assert any(word in line for line in found)
    else:
        assert found == []


def test_judge_counts_repeats_and_service_after_the_faults():
    history = SoakHistory(calm_from=0.0, ended_at=60.0)
    for number in range(100):
        name = f"r{number}"
        history.attempts[name] = attempt("read", 503, request_id=name)
        history.runs += [run_at(10.0 + number / 100, name)] * 2
    found = find_violations(history, 2.0, 2.0)
    assert any("repeats for" in line for line in found)
    assert any("after the faults" in line for line in found)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutants_fit_the_sources(mutant, tmp_path):
    make_copy(mutant, tmp_path)
