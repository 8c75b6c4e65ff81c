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
