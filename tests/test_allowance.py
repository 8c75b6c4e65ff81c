"""Retry allowance across a call chain: the total number of retries is bounded."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dogwooddock.policy.allowance import EDGE_ALLOWANCE, AllowanceLedger

DEPTH = 13


def run_chain(ledgers, depth, allowance, failing, counts):
    """Run a chain from a depth on; each hop retries while it has an allowance.

    Returns the unspent allowance and adds the calls and retries to ``counts``.
    ``failing`` tells from depth and number of tries whether a call fails.
    """
    counts["calls"] += 1
    if depth == DEPTH:
        return allowance
    ledger = ledgers[depth]
    trace = f"trace-{counts['calls']}"
    ledger.open(trace, allowance, 5, depth, 10.0)
    tries = 0
    while True:
        borrowed = ledger.borrow(trace)
        unspent = run_chain(ledgers, depth + 1, borrowed, failing, counts)
        ledger.repay(trace, unspent)
        tries += 1
        entry = ledger.find(trace)
        if not failing(depth, tries) or entry.available <= 0:
            break
        entry.available -= 1
        counts["retries"] += 1
    return ledger.close(trace)


def test_retries_of_a_chain_with_thirteen_failing_hops_are_bounded():
    counts = {"calls": 0, "retries": 0}
    ledgers = [AllowanceLedger() for _ in range(DEPTH)]
    run_chain(ledgers, 0, EDGE_ALLOWANCE, lambda depth, tries: True, counts)
    assert counts["retries"] <= EDGE_ALLOWANCE
    assert counts["calls"] <= (DEPTH + 1) * (EDGE_ALLOWANCE + 1)
    naive_calls = sum(4**depth for depth in range(DEPTH + 1))
    assert counts["calls"] < naive_calls / 1_000_000


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(0, 6))
def test_retries_never_exceed_the_allowance(rng, allowance):
    counts = {"calls": 0, "retries": 0}
    ledgers = [AllowanceLedger() for _ in range(DEPTH)]
    run_chain(ledgers, 0, allowance, lambda depth, tries: rng.random() < 0.5, counts)
    assert counts["retries"] <= allowance
    assert all(len(ledger) == 0 for ledger in ledgers)


@pytest.mark.parametrize(
    ("available", "lent"), [(0, 0), (1, 1), (2, 1), (3, 2), (5, 2)]
)
def test_borrow_takes_half_rounded_up(available, lent):
    ledger = AllowanceLedger()
    ledger.open("t", available, 5, 0, 10.0)
    assert ledger.borrow("t") == lent
    assert ledger.find("t").available == available - lent


def test_unknown_chain_has_no_allowance():
    ledger = AllowanceLedger()
    assert ledger.borrow("t") == 0
    ledger.repay("t", 2)
    assert ledger.borrow("t") == 0
