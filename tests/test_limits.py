"""Adaptive concurrency limit of a simulated target, in virtual time."""

import heapq
from random import Random

import pytest

from dogwooddock.policy.limits import AdaptiveLimit, StaticLimit


class SimulatedTarget:
    """Target with a FIFO queue that always has as many requests as its limit allows.

    Args:
        limit: Limit under test.
        slots: Requests that the target can work on at once.
        seed: Seed of the service times.
    """

    def __init__(self, limit, slots, seed=1):
        self.limit = limit
        self.slots = slots
        self.rng = Random(seed)
        self.now = 0.0
        self.slots_free_at = [0.0] * slots
        self.running = []
        self.finished = 0

    def run(self, until, service_s):
        while self.now < until:
            while len(self.running) < self.limit.value:
                self._start(service_s)
            end, admitted_at = heapq.heappop(self.running)
            self.now = max(self.now, end)
            self.finished += 1
            in_flight = len(self.running) + 1
            self.limit.record(self.now, "kind", end - admitted_at, in_flight, False)

    def _start(self, service_s):
        start = max(self.now, heapq.heappop(self.slots_free_at))
        # This factor has a mean of 1.03, which the tests of the throughput allow for.
        end = start + service_s * self.rng.lognormvariate(0.0, 0.25)
        heapq.heappush(self.slots_free_at, end)
        heapq.heappush(self.running, (end, self.now))


def test_limit_reaches_the_ceiling_of_a_fast_target():
    limit = AdaptiveLimit(1, 20)
    SimulatedTarget(limit, slots=40).run(10.0, 0.05)
    assert limit.value >= 18


def test_limit_stays_near_the_real_slots_below_a_ceiling_that_is_too_high():
    limit = AdaptiveLimit(1, 200)
    SimulatedTarget(limit, slots=10).run(60.0, 0.05)
    assert 8 <= limit.value <= 40


@pytest.mark.parametrize("slots", [7, 20])
@pytest.mark.parametrize("factor", [3.0, 10.0])
def test_throughput_is_kept_when_latency_rises_for_another_reason_than_load(
    factor, slots
):
    limit = AdaptiveLimit(1, slots)
    target = SimulatedTarget(limit, slots=slots)
    target.run(10.0, 0.05)
    target.run(20.0, 0.05 * factor)
    before = target.finished
    target.run(40.0, 0.05 * factor)
    max_finished = slots / (0.05 * factor * 1.03) * 20
    assert target.finished - before >= 0.8 * max_finished


@pytest.mark.parametrize("slots", [2, 7, 20])
def test_latency_noise_does_not_lower_the_throughput(slots):
    limit = AdaptiveLimit(1, slots)
    target = SimulatedTarget(limit, slots=slots, seed=3)
    target.run(10.0, 0.09)
    before = target.finished
    target.run(70.0, 0.09)
    max_finished = slots / (0.09 * 1.03) * 60
    assert target.finished - before >= 0.9 * max_finished


def test_throughput_recovers_after_a_period_of_high_latency():
    limit = AdaptiveLimit(1, 20)
    target = SimulatedTarget(limit, slots=20)
    target.run(10.0, 0.05)
    target.run(30.0, 0.5)
    target.run(32.0, 0.05)
    before = target.finished
    target.run(36.0, 0.05)
    max_finished = 20 / (0.05 * 1.03) * 4
    assert target.finished - before >= 0.8 * max_finished


@pytest.mark.parametrize("limit", [AdaptiveLimit(2, 10), StaticLimit(10)])
def test_limit_stays_within_its_bounds(limit):
    rng = Random(2)
    now = 0.0
    for _ in range(2000):
        now += 0.01
        limit.record(now, "k", rng.uniform(0.001, 5), rng.randint(1, 20), False)
        assert 1 <= limit.value <= 10
    limit.resize(1, 5)
    assert limit.value <= 5
