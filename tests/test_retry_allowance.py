"""Retries of a whole fleet whose nodes restart, or whose number is large.

The load: few requests, each of which may be retried, on nodes that lose what they knew
of their retries, or that are more than the extra retries of the fleet. Guards against a
share of the extra retries that is had again after a restart.
"""

import pytest

from dogwooddock.policy.retryallowance import RetryAllowance

RATIO = 0.2
EXTRA = 97.0
WINDOW_S = 10
POOL = "archive"
RESTART_GAP_S = 2


class _Fleet:
    """Nodes that each get the requests in turn, and retry whatever they may."""

    def __init__(self, size):
        self.size = size
        self.nodes = [self._start(0) for _ in range(size)]
        self.requests = 0
        self.retries = 0

    def _start(self, now):
        allowance = RetryAllowance(RATIO, EXTRA, now)
        allowance.resize(self.size, now)
        return allowance

    def restart(self, share, now):
        for index in range(int(self.size * share)):
            self.nodes[index] = self._start(now)

    def request(self, now):
        """Let each node get a request and retry it until it may not."""
        for node in self.nodes:
            node.resize(self.size, now)
            node.record_request(POOL, now, repeat=False)
            self.requests += 1
            while node.spend(POOL, now, 0.0, None):
                self.retries += 1


@pytest.mark.parametrize("size", [4, 64, 194, 1000])
@pytest.mark.parametrize("restarts", [0, 1, 2, 4])
def test_retries_stay_within_the_fleets_bound_through_restarts(size, restarts):
    fleet = _Fleet(size)
    start = 100
    fleet.request(start)
    for number in range(restarts):
        now = start + (number + 1) * RESTART_GAP_S
        fleet.restart(1.0, now)
        fleet.request(now)
    assert fleet.retries <= RATIO * fleet.requests + EXTRA


def test_a_fleet_that_runs_for_a_window_may_use_its_extra_retries():
    fleet = _Fleet(16)
    fleet.request(0)
    fleet.retries = 0
    fleet.request(WINDOW_S + 1)
    assert fleet.retries >= 16


@pytest.mark.parametrize("calls", [1, 20])
def test_calls_of_repeated_runs_are_charged_and_earn_nothing(calls):
    allowance = RetryAllowance(RATIO, EXTRA, 0)
    now = WINDOW_S + 1
    allowance.resize(1000, now)
    for _ in range(calls):
        allowance.record_request(POOL, now, repeat=True)
    assert not allowance.spend(POOL, now, 0.0, 1.0)
