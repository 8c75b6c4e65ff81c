"""Load balancing among targets that differ in zone, latency and failures."""

from collections import Counter
from random import Random

import pytest

from dogwooddock.policy.selection import Selector

LIMIT = 10


def simulate(targets, objective_s=0.0, seconds=20.0, per_s=100):
    """Send calls at a constant rate; return the share of calls by node id.

    Args:
        targets: Zone, latency in seconds and share of failures by node id.
        objective_s: Latency objective of the calls, in seconds.
        seconds: Simulated time, in seconds.
        per_s: Calls per second.
    """
    rng = Random(5)
    selector = Selector("a")
    selector.sync("p", [(node, zone) for node, (zone, _, _) in targets.items()])
    for candidate in selector.candidates("p"):
        candidate.limit = LIMIT
    sent = Counter()
    running = []
    for step in range(int(seconds * per_s)):
        now = 1.0 + step / per_s
        running.sort(key=lambda item: item[0])
        while running and running[0][0] <= now:
            ended, node = running.pop(0)
            _, latency_s, failing = targets[node]
            load = sum(1 for _, other in running if other == node)
            selector.record_reply(
                selector.find("p", node),
                ended,
                latency_s,
                LIMIT,
                load,
                False,
                rng.random() < failing,
            )
        candidate = selector.choose("p", now, rng, set(), "", objective_s)
        selector.record_sent(candidate)
        sent[candidate.node_id] += 1
        running.append((now + targets[candidate.node_id][1], candidate.node_id))
    return {node: sent[node] / sent.total() for node in targets}


@pytest.mark.parametrize(
    ("targets", "objective_s", "node", "least", "most"),
    [
        # A local target that answers in time is preferred to a faster remote one.
        ({1: ("a", 0.05, 0), 2: ("b", 0.02, 0)}, 0.5, 1, 0.95, 1.0),
        # Calls go to the remote zone if the local target is full, slow or failing.
        ({1: ("a", 0.2, 0), 2: ("b", 0.2, 0)}, 2.0, 2, 0.3, 0.7),
        ({1: ("a", 0.09, 0), 2: ("b", 0.02, 0)}, 0.15, 1, 0.001, 0.4),
        ({1: ("a", 0.02, 0.5), 2: ("b", 0.02, 0)}, 0.5, 1, 0.002, 0.4),
        # Without an objective, the local zone is preferred while it has free slots.
        ({1: ("a", 0.02, 0), 2: ("b", 0.02, 0)}, 0.0, 1, 0.9, 1.0),
        # Calls beyond the slots of the local zone go to the remote one.
        ({1: ("a", 0.2, 0), 2: ("b", 0.2, 0)}, 0.0, 2, 0.3, 0.7),
        # A slow target gets few calls.
        ({1: ("a", 0.5, 0), 2: ("b", 0.02, 0), 3: ("a", 0.02, 0)}, 0.0, 1, 0.001, 0.1),
        # A target that fails some of its calls gets few, but not none.
        ({1: ("a", 0.02, 0.5), 2: ("b", 0.02, 0)}, 0.0, 1, 0.002, 0.4),
        # The faster of two local targets gets more calls.
        ({1: ("a", 0.06, 0), 2: ("a", 0.18, 0)}, 0.0, 1, 0.55, 1.0),
    ],
)
def test_calls_go_to_the_target_with_the_lowest_cost(
    targets, objective_s, node, least, most
):
    assert least <= simulate(targets, objective_s)[node] <= most


def test_target_may_fail_without_end():
    """Guards against an exponent of the ejection that grows with each failure."""
    selector = Selector("a")
    selector.sync("p", [(1, "a"), (2, "a")])
    candidate = selector.find("p", 1)
    for number in range(5000):
        selector.record_sent(candidate)
        selector.record_reply(candidate, 1.0 + number, None, LIMIT, 0, False, True)
    assert candidate.ejected_until > 5000
