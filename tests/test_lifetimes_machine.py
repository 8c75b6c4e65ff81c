"""Lifetimes of a target under any order of late, repeated and stored messages."""

from hypothesis import settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from dogwooddock.policy.lifetimes import Heartbeat, LifetimeTracker, TargetState


class Lifetimes(RuleBasedStateMachine):
    """A node that hears messages in any order and may restart with its row."""

    messages = Bundle("messages")

    def __init__(self):
        super().__init__()
        self.tracker = LifetimeTracker()
        self.born = 1
        self.sequence = 0
        self.state = TargetState.READY
        self.left = set()
        self.row = None

    def _beat(self):
        self.sequence += 1
        address = ("127.0.0.1", 1)
        target_id = f"t{self.born % 2}"
        return Heartbeat(
            target_id, "p", address, 4, self.state, 0, self.sequence, self.born
        )

    @rule(target=messages)
    def say(self):
        return self._beat()

    @rule(target=messages)
    def drain(self):
        self.state = TargetState.DRAINING
        return self._beat()

    @rule()
    def replace(self):
        self.born += 1
        self.sequence = 0
        self.state = TargetState.READY

    @rule(message=messages)
    def hear(self, message):
        self.tracker.observe(message)
        current = self.tracker.current
        if message.state is TargetState.DRAINING and (
            current is not None and current.lifetime == message.lifetime
        ):
            self.left.add(message.lifetime)
            self.row = current

    @rule(message=messages)
    def hear_leave(self, message):
        self.tracker.leave(message.target_id, message.born_ms, message.sequence)
        current = self.tracker.current
        if current is not None and current.lifetime == message.lifetime:
            self.left.add(message.lifetime)
            self.row = current

    @rule()
    def restart(self):
        self.tracker = LifetimeTracker()
        if self.row is not None:
            self.tracker.recover(self.row)
            self.left &= {self.row.lifetime}
        else:
            self.left.clear()

    @invariant()
    def a_lifetime_that_left_is_never_ready(self):
        current = self.tracker.current
        if current is not None and current.lifetime in self.left:
            assert current.state is not TargetState.READY

    @invariant()
    def newest_lifetime_wins(self):
        current = self.tracker.current
        if current is not None and self.left:
            assert current.born_ms >= max(born for born, _ in self.left)


Lifetimes.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestLifetimes = Lifetimes.TestCase
