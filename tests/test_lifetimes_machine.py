"""LifetimeTracker with late, repeated and stored messages in any order."""

from hypothesis import settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from dogwooddock.policy.lifetimes import Heartbeat, LifetimeTracker, TargetState


class LifetimeMachine(RuleBasedStateMachine):
    """A node that receives messages in any order and may restart from its row.

    An older message that arrives after a drain was acknowledged must not make the
    target ready again, also after a restart.
    """

    messages = Bundle("messages")

    def __init__(self):
        super().__init__()
        self.tracker = LifetimeTracker()
        self.born_ms = 1
        self.sequence = 0
        self.state = TargetState.READY
        self.drained = set()
        self.row = None

    def _heartbeat(self):
        self.sequence += 1
        address = ("127.0.0.1", 1)
        target_id = f"t{self.born_ms % 2}"
        return Heartbeat(
            target_id, "p", address, 4, self.state, 0, self.sequence, self.born_ms
        )

    @rule(target=messages)
    def send_heartbeat(self):
        return self._heartbeat()

    @rule(target=messages)
    def begin_drain(self):
        self.state = TargetState.DRAINING
        return self._heartbeat()

    @rule()
    def replace_target(self):
        self.born_ms += 1
        self.sequence = 0
        self.state = TargetState.READY

    @rule(message=messages)
    def receive(self, message):
        self.tracker.observe(message)
        current = self.tracker.current
        if message.state is TargetState.DRAINING and (
            current is not None and current.lifetime == message.lifetime
        ):
            self.drained.add(message.lifetime)
            self.row = current

    @rule(message=messages)
    def receive_leave(self, message):
        self.tracker.observe_leave(message.target_id, message.born_ms, message.sequence)
        current = self.tracker.current
        if current is not None and current.lifetime == message.lifetime:
            self.drained.add(message.lifetime)
            self.row = current

    @rule()
    def restart(self):
        self.tracker = LifetimeTracker()
        if self.row is not None:
            self.tracker.recover(self.row)
            self.drained &= {self.row.lifetime}
        else:
            self.drained.clear()

    @invariant()
    def drained_lifetime_is_never_ready_again(self):
        current = self.tracker.current
        if current is not None and current.lifetime in self.drained:
            assert current.state is not TargetState.READY

    @invariant()
    def current_lifetime_is_not_older_than_a_drained_one(self):
        current = self.tracker.current
        if current is not None and self.drained:
            assert current.born_ms >= max(born_ms for born_ms, _ in self.drained)


LifetimeMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestLifetimes = LifetimeMachine.TestCase
