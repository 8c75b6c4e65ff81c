"""What a stopping node takes, and when it exits."""

import pytest

from dogwooddock.policy.recentlatency import RecentLatency
from dogwooddock.policy.shutdown import Shutdown, UnfinishedWork

DRAIN_S = 2.0
GRACE_S = 6.0
IDLE = UnfinishedWork(False, 0, 0)
BUSY_GATE = UnfinishedWork(True, 0, 0)
ANSWERING = UnfinishedWork(False, 1, 0)
WRITING = UnfinishedWork(False, 0, 1)
CLOSING = UnfinishedWork(False, 0, 0, 1)


@pytest.mark.parametrize(
    ("after_s", "wait_s", "admitted"),
    [
        (0.0, 60.0, True),
        (DRAIN_S, 60.0, True),
        (3.0, 1.0, True),
        (3.0, 3.5, False),
        (4.5, 1.2, False),
        (5.9, 0.01, False),
    ],
)
def test_only_requests_that_end_in_time_are_taken_after_the_drain(
    after_s, wait_s, admitted
):
    shutdown = Shutdown(100.0, DRAIN_S, GRACE_S)
    assert shutdown.admits(100.0 + after_s, wait_s) is admitted


@pytest.mark.parametrize(
    ("after_s", "usual_s", "admitted"),
    [
        (0.0, 60.0, True),
        (3.0, 0.1, True),
        (3.0, 3.0, False),
        (4.5, 0.1, True),
        (5.9, 0.0, False),
    ],
)
def test_requests_that_usually_end_in_time_are_taken_after_the_drain(
    after_s, usual_s, admitted
):
    shutdown = Shutdown(100.0, DRAIN_S, GRACE_S)
    assert shutdown.admits(100.0 + after_s, 60.0, usual_s) is admitted


@pytest.mark.parametrize(
    ("after_s", "admitted"), [(0.0, True), (5.0, True), (5.9, False)]
)
def test_calls_of_the_local_target_are_taken_unless_they_cannot_end(after_s, admitted):
    shutdown = Shutdown(100.0, DRAIN_S, GRACE_S)
    assert shutdown.admits_call(100.0 + after_s) is admitted


@pytest.mark.parametrize("wait_s", [0.5, 60.0])
def test_requests_get_no_more_time_than_is_left(wait_s):
    shutdown = Shutdown(100.0, DRAIN_S, GRACE_S)
    deadline = shutdown.limit_deadline(101.0 + wait_s)
    assert deadline <= 101.0 + wait_s
    assert not shutdown.gives_up(deadline)
    assert shutdown.gives_up(100.0 + GRACE_S)


@pytest.mark.parametrize(
    ("samples", "after_s", "expected_s"),
    [
        ([], 0.0, None),
        ([0.5] * 9, 0.0, None),
        ([0.1] * 9 + [0.7], 0.0, 0.7),
        ([0.1] * 9 + [0.7], 14.0, 0.7),
        ([0.1] * 9 + [0.7], 29.0, 0.7),
        ([0.1] * 9 + [0.7], 31.0, None),
    ],
)
def test_longest_latency_is_that_of_the_last_windows(samples, after_s, expected_s):
    latency = RecentLatency()
    for sample_s in samples:
        latency.record(100.0, "read", sample_s)
        latency.record(100.0, "other", 9.0)
    assert latency.longest_s(100.0 + after_s, "read") == expected_s


def test_latencies_of_many_kinds_take_bounded_memory():
    latency = RecentLatency()
    for number in range(5000):
        latency.record(100.0, f"kind-{number}", 1.0)
    assert len(latency._current) <= 1024


@pytest.mark.parametrize(
    ("after_s", "work", "closes", "exits"),
    [
        (0.0, IDLE, False, False),
        (DRAIN_S, IDLE, False, False),
        (2.5, IDLE, True, True),
        (2.5, BUSY_GATE, False, False),
        (2.5, ANSWERING, True, False),
        (2.5, WRITING, True, False),
        (2.5, CLOSING, True, False),
        (GRACE_S, BUSY_GATE, False, True),
        (GRACE_S, ANSWERING, True, True),
    ],
)
def test_process_exits_when_all_is_done_or_the_grace_period_ends(
    after_s, work, closes, exits
):
    shutdown = Shutdown(100.0, DRAIN_S, GRACE_S)
    now = 100.0 + after_s
    assert shutdown.closes_listener(now, work) is closes
    assert shutdown.may_exit(now, work) is exits


@pytest.mark.parametrize("grace_s", [0.1, 1.0, 2.0])
def test_grace_shorter_than_the_drain_leaves_time_to_answer(grace_s):
    shutdown = Shutdown(0.0, DRAIN_S, grace_s)
    assert shutdown.may_exit(grace_s, BUSY_GATE)
    assert not shutdown.admits(grace_s, 1.0)
