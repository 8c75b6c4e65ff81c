"""Which attempts may be retried."""

import pytest

from dogwooddock.policy.outcomes import Outcome, Reason
from dogwooddock.policy.retries import MAX_PAIRS, RetryBudget, worth_retry


@pytest.mark.parametrize(
    ("idempotent", "outcome", "reason", "status", "expected"),
    [
        (True, Outcome.NOT_RUN, Reason.OVERLOAD, 0, True),
        (False, Outcome.NOT_RUN, Reason.DRAINING, 0, True),
        (False, Outcome.NOT_RUN, Reason.KEY_IN_USE, 0, False),
        (True, Outcome.NOT_RUN, Reason.DEADLINE, 0, False),
        (True, Outcome.NOT_RUN, Reason.QUARANTINED, 0, False),
        (True, Outcome.UNKNOWN, Reason.TARGET_FAILED, 0, True),
        (True, Outcome.UNKNOWN, Reason.TARGET_LOST, 0, False),
        (True, Outcome.UNKNOWN, Reason.DEADLINE, 0, False),
        (False, Outcome.UNKNOWN, Reason.TARGET_FAILED, 0, False),
        (False, Outcome.UNKNOWN, Reason.PEER_FAILED, 0, False),
        (True, Outcome.ANSWERED, Reason.NONE, 503, True),
        (True, Outcome.ANSWERED, Reason.FAILED_BELOW, 503, False),
        (True, Outcome.ANSWERED, Reason.NONE, 500, False),
        (False, Outcome.ANSWERED, Reason.NONE, 503, False),
    ],
)
def test_worth_retry(idempotent, outcome, reason, status, expected):
    assert worth_retry(idempotent, outcome, reason, status) is expected


def test_budget_keeps_retries_a_small_share_of_the_load():
    budget = RetryBudget()
    granted = 0
    for _ in range(10_000):
        budget.earn("shops", "orders")
        granted += budget.spend("shops", "orders")
    assert granted <= 0.1 * 10_000 + 3


def test_budget_is_bounded_in_memory():
    budget = RetryBudget()
    for index in range(3 * MAX_PAIRS):
        budget.earn(f"caller-{index}", "orders")
    assert len(budget._tokens) <= MAX_PAIRS


def test_budget_keeps_its_last_tokens_for_what_matters_more():
    budget = RetryBudget(max_tokens=4.0)
    granted = [budget.spend("", "p", reserve=0.5) for _ in range(3)]
    assert granted == [True, False, False]
    assert [budget.spend("", "p") for _ in range(3)] == [True, True, False]


def test_repeats_of_the_chain_above_leave_less_for_retries():
    budget = RetryBudget(ratio=0.2)
    granted = 0
    repeats = 0
    for number in range(10_000):
        budget.earn("", "p")
        if number % 10 == 0:
            budget.debit("", "p")
            repeats += 1
        granted += budget.spend("", "p")
    assert granted + repeats <= 0.2 * 10_000 + 3
