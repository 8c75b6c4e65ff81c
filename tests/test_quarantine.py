"""Requests that make targets crash."""

import pytest

from dogwooddock.errors import TargetError
from dogwooddock.policy.quarantine import (
    MAX_FINGERPRINTS,
    Mark,
    Quarantine,
    Standing,
    fingerprint,
)

from .helpers import MiniFleet, RecordingTarget


@pytest.mark.parametrize(
    ("losses", "expected"),
    [
        ([], Standing.CLEAR),
        ([1], Standing.SUSPECT),
        ([1, 1], Standing.SUSPECT),
        ([1, 2], Standing.QUARANTINED),
    ],
)
def test_standing(losses, expected):
    quarantine = Quarantine()
    for node_id in losses:
        quarantine.observe_loss(0.0, "fp", node_id)
    assert quarantine.standing(1.0, "fp") is expected
    assert quarantine.standing(1e6, "fp") is Standing.CLEAR


def test_success_clears_a_suspect_everywhere():
    here, there = Quarantine(), Quarantine()
    there.add(0.0, here.observe_loss(0.0, "fp", 1))
    mark = here.observe_success(1.0, "fp")
    assert there.add(1.0, mark)
    assert there.standing(2.0, "fp") is Standing.CLEAR
    assert not there.add(2.0, Mark("fp", 2, 60))


def test_memory_is_bounded():
    quarantine = Quarantine()
    for index in range(MAX_FINGERPRINTS + 500):
        quarantine.observe_loss(0.0, f"fp-{index}", 1)
    assert len(quarantine) == MAX_FINGERPRINTS


def test_fingerprint_tells_requests_apart():
    prints = {
        fingerprint("r", "", b"", "/a?x=1"),
        fingerprint("r", "", b"", "/a?x=2"),
        fingerprint("r", "", b"body", "/a?x=1"),
        fingerprint("r", "key", b"", "/a?x=1"),
    }
    assert len(prints) == 4


class FragileTarget(RecordingTarget):
    """Target that is lost when it gets a marked request."""

    def run(self, method, path, body):
        if "bad" in path:
            self.alive = False
            raise TargetError("reset")
        return super().run(method, path, body)


def test_bad_request_costs_two_targets_and_no_third():
    fleet = MiniFleet(4, served=[])
    try:
        targets = [FragileTarget() for _ in range(4)]
        for index, target in enumerate(targets):
            fleet.targets[index] = target
            fleet.serve(index, target)
        fleet.wait(lambda: all(fleet._has_candidates(node, 4) for node in fleet.nodes))
        told = [fleet.send("GET", "/browse?bad=1", index=i % 4) for i in range(8)]
        lost = [target for target in targets if not target.alive]
        assert len(lost) <= 2
        assert told[0].outcome == "unknown"
        fleet.wait(
            lambda: (
                all(node.quarantine.listing(0.0) for node in fleet.nodes)
                or len(lost) < 2
            )
        )
        assert told[-1].reason == "quarantined" or len(lost) < 2
        assert fleet.send("GET", "/browse?good=1").outcome == "answered"
    finally:
        fleet.close()
