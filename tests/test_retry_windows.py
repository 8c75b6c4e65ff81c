"""Retries of a whole fleet whose nodes each keep a bucket and a window of their own.

The load: traffic that swings and reaches the nodes one after the other, on a pool whose
targets turn calls away from one second on, after a time without retries. Guards against
a bucket and a window that together allow more retries than the fleet's ratio.
"""

import math

import pytest

from dogwooddock.policy.retries import RetryBudget
from dogwooddock.policy.retrywindow import RetryWindow, spend_retry

# Bound of the fleet: retries per request, and retries beyond it, in a window.
RATIO = 0.2
EXTRA = 97
# Part of the ratio that the nodes use.
NODE_RATIO = 0.8 * RATIO
NODES = 40
EXTRA_PER_NODE = EXTRA * 0.8 / NODES
WINDOW_S = 10
# Requests a second and node, their share that swings, and the time of a swing.
REQUESTS_PER_S = 50
SWING = 0.55
PERIOD_S = 15.0
POOL = "articles"


def _requests(node, second):
    phase = second / PERIOD_S + node / NODES
    return round(REQUESTS_PER_S * (1.0 + SWING * math.sin(2.0 * math.pi * phase)))


def _retries(budget, window, second, count):
    """Make requests, each of which is turned away, and return their retries."""
    retries = 0
    for index in range(count):
        now = second + index / count
        budget.earn("", POOL)
        window.record_request(POOL, now)
        retries += spend_retry(budget, window, POOL, now, 0.0, 1.0, EXTRA_PER_NODE)
    return retries


@pytest.mark.parametrize("from_s", [20, 23, 27, 31])
@pytest.mark.parametrize("for_s", [3, 8, 30])
def test_retries_of_a_fleet_stay_within_its_ratio(from_s, for_s):
    nodes = [
        (RetryBudget(NODE_RATIO, EXTRA_PER_NODE), RetryWindow(NODE_RATIO))
        for _ in range(NODES)
    ]
    requests, retries = [0] * 60, [0] * 60
    for second in range(60):
        turns_away = from_s <= second < from_s + for_s
        for node, (budget, window) in enumerate(nodes):
            count = _requests(node, second)
            requests[second] += count
            if turns_away:
                retries[second] += _retries(budget, window, second, count)
                continue
            for _ in range(count):
                budget.earn("", POOL)
                window.record_request(POOL, second)
    for end in range(20, 60):
        counted = max(_sum_before(requests, end - ago) for ago in (0, 5, 10))
        assert _sum_before(retries, end) <= RATIO * counted + EXTRA


def _sum_before(counts, end):
    return sum(counts[max(0, end - WINDOW_S + 1) : end + 1])


# The clocks of the nodes are not aligned: each begins its seconds at another time.
STEP_S = 0.05
BURST_S = 0.3
TRIES_PER_REQUEST = 8


@pytest.mark.parametrize("gap_s", [9.2, 9.5, 9.8, 10.2])
def test_two_bursts_of_retries_within_a_window_share_its_allowance(gap_s):
    """All targets turn calls away for a moment, twice within a window."""
    nodes = [
        (index / NODES, RetryBudget(NODE_RATIO, EXTRA_PER_NODE))
        for index in range(NODES)
    ]
    windows = [RetryWindow(NODE_RATIO) for _ in nodes]
    steps = round(35 / STEP_S)
    per_step = REQUESTS_PER_S * STEP_S
    requests, retries = [0.0] * steps, [0] * steps
    for step in range(steps):
        now = step * STEP_S
        in_burst = any(start <= now < start + BURST_S for start in (20.0, 20.0 + gap_s))
        for (offset_s, budget), window in zip(nodes, windows, strict=True):
            count = int((step + 1) * per_step) - int(step * per_step)
            requests[step] += count
            for _ in range(count):
                budget.earn("", POOL)
                window.record_request(POOL, now + offset_s)
            for _ in range(count * TRIES_PER_REQUEST if in_burst else 0):
                retries[step] += spend_retry(
                    budget, window, POOL, now + offset_s, 0.0, 1.0, EXTRA_PER_NODE
                )
    length = round(WINDOW_S / STEP_S)
    for end in range(2 * length, steps):
        counted = sum(requests[end - length : end])
        assert sum(retries[end - length : end]) <= RATIO * counted + EXTRA
