"""Tests of the key protocol, against the real decisions and an in-memory store."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from dogwooddock.policy.keys import (
    ClaimVerdict,
    KeyRow,
    KeyState,
    Plan,
    ReleaseVerdict,
    judge_claim,
    judge_release,
    plan_request,
)

MINE = KeyRow(KeyState.CLAIMED, "a1", "1", "10.0.0.1:1")
OTHER = KeyRow(KeyState.CLAIMED, "a2", "2", "10.0.0.2:1")
RELEASED = KeyRow(KeyState.RELEASED, "a2", "2", "10.0.0.2:1")


@pytest.mark.parametrize(
    ("applied", "version", "row", "base", "expected"),
    [
        (True, 1, MINE, 0, ClaimVerdict.MINE),
        (False, 1, MINE, 0, ClaimVerdict.MINE),
        (False, 0, None, 0, ClaimVerdict.RETRY),
        (False, 1, OTHER, 0, ClaimVerdict.TAKEN),
        (False, 2, RELEASED, 0, ClaimVerdict.TAKEN),
        (False, 2, RELEASED, 2, ClaimVerdict.RETRY),
    ],
)
def test_judge_claim(applied, version, row, base, expected):
    assert judge_claim(applied, version, row, base, MINE) is expected


@pytest.mark.parametrize(
    ("applied", "row", "expected"),
    [
        (True, RELEASED, ReleaseVerdict.SETTLED),
        (False, RELEASED, ReleaseVerdict.MOVED),
        (False, OTHER, ReleaseVerdict.TAKEN),
    ],
)
def test_judge_release(applied, row, expected):
    assert judge_release(applied, row) is expected


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (None, Plan.RUN),
        (RELEASED, Plan.RUN),
        (OTHER, Plan.ASK_HOLDER),
        (KeyRow(KeyState.FINISHED, "a", "1", "x", "answer"), Plan.REPLAY),
        (KeyRow(KeyState.FINISHED, "a", "1", "x"), Plan.ASK_HOLDER),
    ],
)
def test_plan_request(row, expected):
    assert plan_request(3, row).plan is expected


class KeyProtocol(RuleBasedStateMachine):
    """Interleave ingresses, gates and a store that loses answers."""

    based = Bundle("based")
    claiming = Bundle("claiming")
    mine = Bundle("mine")

    def __init__(self):
        super().__init__()
        self.version = 0
        self.row = None
        self.count = 0
        self.seen: set[str] = set()
        self.began: dict[str, int] = {}
        self.ran: list[str] = []
        self.fenced: set[str] = set()
        self.not_run: set[str] = set()

    def write(self, base, row):
        if self.version != base:
            return False
        self.version += 1
        self.row = row
        return True

    @rule(target=based)
    def arrive(self):
        self.count += 1
        name = f"r{self.count}"
        plan = plan_request(self.version, self.row)
        if plan.plan is not Plan.RUN:
            return multiple()
        self.began[name] = plan.base
        return name, plan.base, name

    @rule(target=claiming, request=based, lost=st.booleans())
    def claim(self, request, lost):
        name, base, attempt = request
        if attempt in self.seen:
            return multiple()
        self.seen.add(attempt)
        row = KeyRow(KeyState.CLAIMED, attempt, name, "x")
        applied = self.write(base, row)
        return name, base, row, applied and not lost

    @rule(target=mine, claim=consumes(claiming))
    def learn(self, claim):
        name, base, row, applied = claim
        verdict = judge_claim(applied, self.version, self.row, base, row)
        return name if verdict is ClaimVerdict.MINE else multiple()

    @rule(name=consumes(mine))
    def dispatch(self, name):
        if name not in self.ran and name not in self.not_run:
            self.ran.append(name)

    @rule(target=based, name=consumes(mine))
    def release(self, name):
        row = self.row
        ours = row is not None and row.state is KeyState.CLAIMED and row.holder == name
        if name in self.ran or not ours:
            return multiple()
        released = KeyRow(KeyState.RELEASED, row.attempt_id, name, "x")
        self.write(self.version, released)
        self.count += 1
        return name, self.version, f"{name}-again-{self.count}"

    @rule(request=consumes(based), lost=st.booleans())
    def settle(self, request, lost):
        name, base, _ = request
        if name in self.not_run:
            return
        for _ in range(4):
            row = KeyRow(KeyState.RELEASED, "i", name, "x")
            verdict = judge_release(self.write(base, row), self.row)
            if verdict is ReleaseVerdict.SETTLED and not lost:
                self.not_run.add(name)
                self.fenced.update(other for other in self.began)
                self.began.clear()
            if verdict is not ReleaseVerdict.MOVED:
                return
            base = self.version

    @invariant()
    def at_most_once(self):
        assert len(self.ran) <= 1

    @invariant()
    def not_run_is_true_and_final(self):
        assert not self.fenced.intersection(self.ran)


TestKeyProtocol = KeyProtocol.TestCase
TestKeyProtocol.settings = settings(
    max_examples=1500, stateful_step_count=30, derandomize=True, deadline=None
)
