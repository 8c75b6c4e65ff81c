"""State machine over real nodes with faults at their interfaces."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from dogwooddock.errors import IncompleteAnswer, TargetError, TargetUnreachable

from .helpers import MiniFleet, RecordingTarget

FAILURES = [None, TargetError("reset"), IncompleteAnswer("short")]
FAILURES.append(TargetUnreachable("refused"))
KEYS = st.sampled_from([f"key-{index}" for index in range(6)])
NODES = st.integers(0, 1)


class FleetMachine(RuleBasedStateMachine):
    """Send keyed requests, resend them, and break what can break."""

    @initialize()
    def start(self):
        self.fleet = MiniFleet(2)
        self.tickets = []
        self.not_run = {}
        self.answered = set()

    def tell(self, key, node):
        before = self.runs(key)
        told = self.fleet.send("POST", "/confirm", key.encode(), key=key, index=node)
        if told.outcome == "answered":
            assert told.body == b"ran " + key.encode()
            self.answered.add(key)
        if told.outcome == "not-run":
            assert before == self.runs(key) or not self.finished(key)
            self.not_run[key] = self.finished(key)

    def runs(self, key):
        return sum(1 for entry in self.fleet.ran if entry[2] == key.encode())

    def finished(self, key):
        handed = self.runs(key)
        refused = sum(
            1
            for target in self.fleet.targets
            for entry in target.refused
            if entry[2] == key.encode()
        )
        return handed - refused

    @rule(key=KEYS, node=NODES)
    def send(self, key, node):
        self.tell(key, node)

    @rule(node=NODES)
    def fetch_tickets(self, node):
        self.tickets.extend(self.fleet.tickets(2, index=node))

    @precondition(lambda self: self.tickets)
    @rule(node=NODES, index=st.integers(0, 20))
    def send_ticket(self, node, index):
        self.tell(self.tickets[index % len(self.tickets)], node)

    @rule(down=st.booleans())
    def store(self, down):
        self.fleet.tables.down = down

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.fleet.tables.lose_key_answers = count

    @rule(node=NODES, failure=st.sampled_from(range(len(FAILURES))))
    def target(self, node, failure):
        self.fleet.targets[node].failure = FAILURES[failure]

    @invariant()
    def nothing_runs_twice(self):
        for key in {entry[2].decode() for entry in self.fleet.ran}:
            assert self.finished(key) <= 1, key

    @invariant()
    def not_run_was_true_when_told(self):
        assert not any(self.not_run.values())

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.close()


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=12,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_recording_target_tells_refusals_apart():
    target = RecordingTarget()
    target.failure = TargetUnreachable("refused")
    try:
        target.send("POST", "/x", [], b"k", 1.0, None)
    except TargetUnreachable:
        pass
    assert len(target.refused) == len(target.ran) == 1
