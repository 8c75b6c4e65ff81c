"""Rate limit of one target, alone and with the queue of its gate."""

from bisect import bisect_left
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwooddock.policy.admission import (
    RATE_LIMITED_QUEUE_S,
    AdmissionController,
    QueuedCall,
    Verdict,
)
from dogwooddock.policy.limits import StaticLimit
from dogwooddock.policy.ratelimit import BURST_S, MIN_BURST, MIN_RATE_PER_S, RateLimit

WINDOW_S = 4.0


@given(
    per_s=st.floats(0.0, 60.0),
    gaps_s=st.lists(st.floats(0.0, 2.0), max_size=40),
)
def test_allowance_is_bounded_in_every_window(per_s, gaps_s):
    rate = RateLimit()
    rate.set(0.0, per_s)
    now, sent = 0.0, []
    for gap_s in gaps_s:
        now += gap_s
        while rate.allows(now):
            rate.take(now)
            sent.append(now)
    effective = max(MIN_RATE_PER_S, per_s)
    bound = effective * (WINDOW_S + BURST_S) + MIN_BURST + 1e-6
    for index, start in enumerate(sent):
        assert bisect_left(sent, start + WINDOW_S) - index <= bound


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.none() | st.floats(0.0, 50.0))))
def test_limit_that_changes_never_blocks_for_good(changes):
    rate, now = RateLimit(), 0.0
    for gap_s, per_s in changes:
        now += gap_s
        rate.set(now, per_s)
        rate.take(now)
        rate.take(now)
    # At least MIN_RATE_PER_S repays what the changes above took, and one more.
    repaid_at = now + (2 * len(changes) + 2) / MIN_RATE_PER_S
    assert rate.allows(repaid_at)


@pytest.mark.parametrize("per_s", [2.0, 10.0, 60.0])
def test_delay_is_the_time_until_a_request_is_allowed(per_s):
    rate = RateLimit()
    rate.set(0.0, per_s)
    assert not rate.allows(rate.delay_s(0.0, 0) - 1e-6)
    assert rate.allows(rate.delay_s(0.0, 0) + 1e-6)
    assert rate.delay_s(0.0, 5) == pytest.approx(6 / per_s)


def play(per_s, offered_per_s, duration_s=20.0, step_s=0.01):
    """Play a load of which each fifth call is important; return what came of it."""
    rng = Random(5)
    admission = AdmissionController(StaticLimit(20), 20)
    admission.rate.set(0.0, per_s)
    served, refused, waits = {0: 0, 4: 0}, {0: 0, 4: 0}, []
    running, arrived_at = [], {}

    def start(call, now):
        served[call.importance] += 1
        waits.append(now - arrived_at[call])
        running.append((now + 0.1, call))

    for step in range(int(duration_s / step_s)):
        now = step * step_s
        for end, call in [item for item in running if item[0] <= now]:
            running.remove((end, call))
            admission.finish(now, call, 0.1, False)
        for call in admission.admit_waiting(now):
            start(call, now)
        for call in admission.drop_overdue(now):
            refused[call.importance] += 1
        if rng.random() < offered_per_s * step_s:
            importance = 4 if rng.random() < 0.2 else 0
            call = QueuedCall(f"c{step}", importance, 0, now + 3.0, "kind", "caller")
            arrived_at[call] = now
            decision = admission.arrive(now, call)
            if decision.displaced is not None:
                refused[decision.displaced.importance] += 1
            if decision.verdict is Verdict.ADMIT:
                start(call, now)
            elif decision.verdict is Verdict.REFUSE:
                refused[importance] += 1
    return served, refused, waits


@pytest.mark.parametrize(("per_s", "offered_per_s"), [(5.0, 20.0), (10.0, 40.0)])
def test_important_calls_get_the_allowance_of_a_target_with_a_limit(
    per_s, offered_per_s
):
    served, refused, waits = play(per_s, offered_per_s)
    assert sum(served.values()) >= per_s * 20.0 * 0.9
    assert refused[4] <= 0.05 * (served[4] + refused[4])
    assert max(waits) <= RATE_LIMITED_QUEUE_S + 0.02


def test_target_without_a_limit_is_bounded_by_its_slots_only():
    served, refused, waits = play(None, 60.0)
    assert sum(refused.values()) == 0 and max(waits) == 0.0
    assert sum(served.values()) >= 1000
