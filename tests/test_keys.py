"""Idempotency key protocol: its decision functions against an in-memory row."""

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
    ClaimStatus,
    KeyAction,
    KeyRow,
    KeyState,
    ReleaseStatus,
    classify_claim,
    classify_release,
    plan_request,
)

OWN_CLAIM = KeyRow(KeyState.CLAIMED, "a1", "1", "10.0.0.1:1")
OTHER_CLAIM = KeyRow(KeyState.CLAIMED, "a2", "2", "10.0.0.2:1")
RELEASED = KeyRow(KeyState.RELEASED, "a2", "2", "10.0.0.2:1")


@pytest.mark.parametrize(
    ("applied", "version", "row", "base", "expected"),
    [
        (True, 1, OWN_CLAIM, 0, ClaimStatus.ACQUIRED),
        (False, 1, OWN_CLAIM, 0, ClaimStatus.ACQUIRED),
        (False, 0, None, 0, ClaimStatus.RETRY),
        (False, 1, OTHER_CLAIM, 0, ClaimStatus.CONFLICT),
        (False, 2, RELEASED, 0, ClaimStatus.CONFLICT),
        (False, 2, RELEASED, 2, ClaimStatus.RETRY),
    ],
)
def test_claim_status_from_write_result_and_current_row(
    applied, version, row, base, expected
):
    assert classify_claim(applied, version, row, base, OWN_CLAIM) is expected


@pytest.mark.parametrize(
    ("applied", "row", "expected"),
    [
        (True, RELEASED, ReleaseStatus.RELEASED),
        (False, RELEASED, ReleaseStatus.VERSION_CHANGED),
        (False, OTHER_CLAIM, ReleaseStatus.CONFLICT),
    ],
)
def test_release_status_from_write_result_and_current_row(applied, row, expected):
    assert classify_release(applied, row) is expected


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (None, KeyAction.RUN),
        (RELEASED, KeyAction.RUN),
        (OTHER_CLAIM, KeyAction.ASK_HOLDER),
        (KeyRow(KeyState.FINISHED, "a", "1", "x", "answer"), KeyAction.REPLAY),
        (KeyRow(KeyState.FINISHED, "a", "1", "x"), KeyAction.ASK_HOLDER),
    ],
)
def test_action_depends_on_the_row_of_the_key(row, expected):
    assert plan_request(3, row).action is expected


class KeyProtocol(RuleBasedStateMachine):
    """Interleave ingresses, gates and a store whose answers may be lost.

    All requests carry the same key. At most one of them may run. Once one is reported
    not-run, it and all others that have arrived are fenced: none of them may run.
    """

    planned = Bundle("planned")
    claiming = Bundle("claiming")
    claimed = Bundle("claimed")

    def __init__(self):
        super().__init__()
        self.version = 0
        self.row = None
        self.count = 0
        self.received_attempts: set[str] = set()
        self.started: dict[str, int] = {}
        self.ran: list[str] = []
        self.fenced: set[str] = set()
        self.not_run: set[str] = set()

    def write(self, base, row):
        if self.version != base:
            return False
        self.version += 1
        self.row = row
        return True

    @rule(target=planned)
    def arrive(self):
        self.count += 1
        name = f"r{self.count}"
        plan = plan_request(self.version, self.row)
        if plan.action is not KeyAction.RUN:
            return multiple()
        self.started[name] = plan.base
        return name, plan.base, name

    @rule(target=claiming, request=planned, lost=st.booleans())
    def claim(self, request, lost):
        name, base, attempt = request
        if attempt in self.received_attempts:
            return multiple()
        self.received_attempts.add(attempt)
        row = KeyRow(KeyState.CLAIMED, attempt, name, "x")
        applied = self.write(base, row)
        return name, base, row, applied and not lost

    @rule(target=claimed, claim=consumes(claiming))
    def receive_claim_result(self, claim):
        name, base, row, applied = claim
        status = classify_claim(applied, self.version, self.row, base, row)
        return name if status is ClaimStatus.ACQUIRED else multiple()

    @rule(name=consumes(claimed))
    def dispatch(self, name):
        if name not in self.ran and name not in self.not_run:
            self.ran.append(name)

    @rule(target=planned, name=consumes(claimed))
    def release(self, name):
        row = self.row
        owned = row is not None and row.state is KeyState.CLAIMED and row.holder == name
        if name in self.ran or not owned:
            return multiple()
        released = KeyRow(KeyState.RELEASED, row.attempt_id, name, "x")
        self.write(self.version, released)
        self.count += 1
        return name, self.version, f"{name}-again-{self.count}"

    @rule(request=consumes(planned), lost=st.booleans())
    def confirm_not_run(self, request, lost):
        name, base, _ = request
        if name in self.not_run:
            return
        for _ in range(4):
            row = KeyRow(KeyState.RELEASED, "i", name, "x")
            status = classify_release(self.write(base, row), self.row)
            if status is ReleaseStatus.RELEASED and not lost:
                self.not_run.add(name)
                self.fenced.update(other for other in self.started)
                self.started.clear()
            if status is not ReleaseStatus.VERSION_CHANGED:
                return
            base = self.version

    @invariant()
    def at_most_once(self):
        assert len(self.ran) <= 1

    @invariant()
    def fenced_requests_never_run(self):
        assert not self.fenced.intersection(self.ran)


TestKeyProtocol = KeyProtocol.TestCase
TestKeyProtocol.settings = settings(
    max_examples=1500, stateful_step_count=30, derandomize=True, deadline=None
)
