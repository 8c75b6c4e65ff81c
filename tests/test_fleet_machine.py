"""State machine test: keyed requests to real nodes whose store and targets fail."""

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
    """Send and resend keyed requests while the store and the targets fail."""

    @initialize()
    def start(self):
        self.fleet = MiniFleet(2)
        self.tickets = []
        self.not_run = {}
        self.answered = set()

    def send_request(self, key, node):
        dispatched_before = self.dispatched(key)
        response = self.fleet.send(
            "POST", "/confirm", key.encode(), key=key, index=node
        )
        if response.outcome == "answered":
            assert response.body == b"ran " + key.encode()
            self.answered.add(key)
        if response.outcome == "not-run":
            assert dispatched_before == self.dispatched(key) or not self.executed(key)
            self.not_run[key] = self.executed(key)

    def dispatched(self, key):
        return sum(1 for entry in self.fleet.ran if entry[2] == key.encode())

    def executed(self, key):
        dispatched = self.dispatched(key)
        refused = sum(
            1
            for target in self.fleet.targets
            for entry in target.refused
            if entry[2] == key.encode()
        )
        return dispatched - refused

    @rule(key=KEYS, node=NODES)
    def send_key(self, key, node):
        self.send_request(key, node)

    @rule(node=NODES)
    def fetch_tickets(self, node):
        self.tickets.extend(self.fleet.tickets(2, index=node))

    @precondition(lambda self: self.tickets)
    @rule(node=NODES, index=st.integers(0, 20))
    def send_ticket(self, node, index):
        self.send_request(self.tickets[index % len(self.tickets)], node)

    @rule(down=st.booleans())
    def set_store_down(self, down):
        self.fleet.tables.down = down

    @rule(count=st.integers(1, 3))
    def lose_write_answers(self, count):
        self.fleet.tables.lose_key_answers = count

    @rule(node=NODES, failure=st.sampled_from(range(len(FAILURES))))
    def set_target_failure(self, node, failure):
        self.fleet.targets[node].failure = FAILURES[failure]

    @invariant()
    def no_key_is_executed_twice(self):
        for key in {entry[2].decode() for entry in self.fleet.ran}:
            assert self.executed(key) <= 1, key

    @invariant()
    def requests_answered_not_run_were_not_executed(self):
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


def test_recording_target_records_refused_requests():
    target = RecordingTarget()
    target.failure = TargetUnreachable("refused")
    try:
        target.send("POST", "/x", [], b"k", 1.0, None)
    except TargetUnreachable:
        pass
    assert len(target.refused) == len(target.ran) == 1
