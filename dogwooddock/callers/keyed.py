"""Requests under callers' own idempotency keys, on the ingress's side."""

__all__ = ["KeyOutcome", "KeyedRequests"]

import time
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import PeerError, PlatformError
from ..keys.committer import KeyService
from ..keys.rows import KeyResult, KeyWrite
from ..peers.wire.ttypes import KeyStatus, Reply
from ..policy.keys import (
    KeyAction,
    KeyRow,
    KeyState,
    ReleaseStatus,
    classify_release,
    plan_request,
)
from ..policy.outcomes import Outcome, Reason
from ..targets.answers import load_answer

STORE_TIMEOUT_S = 1.0
SETTLE_GRACE_S = 0.5
SETTLE_ATTEMPTS = 4

AskHolder = Callable[[int, str, str, float], KeyStatus]


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """What is known about a key.

    Args:
        outcome: Outcome to report, if ``reason`` is set.
        reason: Reason to report; none if the request may be run.
        base: Version to claim from, if the request may be run.
        reply: Earlier reply to repeat.
    """

    outcome: Outcome = Outcome.UNKNOWN
    reason: Reason = Reason.NONE
    base: int = 0
    reply: Reply | None = None


class KeyedRequests:
    """Read keys on arrival and settle them before a request is called not-run."""

    def __init__(
        self,
        keys: KeyService,
        ask_holder: AskHolder,
        node_id: int,
        address: str,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._keys = keys
        self._ask_holder = ask_holder
        self._node_id = node_id
        self._address = address
        self._clock = clock

    def begin(self, key: str, deadline: float) -> KeyOutcome:
        """Decide how a request that has just arrived goes on."""
        try:
            result = self._keys.read_key(key, self._left(deadline))
        except PlatformError:
            return KeyOutcome(Outcome.UNKNOWN, Reason.STORE_UNAVAILABLE)
        return self._follow(key, result, deadline)

    def _follow(self, key: str, result: KeyResult, deadline: float) -> KeyOutcome:
        plan = plan_request(result.version, result.row)
        if plan.action is KeyAction.RUN:
            return KeyOutcome(base=plan.base)
        assert plan.row is not None
        if plan.action is KeyAction.REPLAY:
            return KeyOutcome(reply=load_answer(plan.row.answer))
        return self._ask(key, plan.row, plan.base, deadline)

    def _ask(self, key: str, row: KeyRow, version: int, deadline: float) -> KeyOutcome:
        wait_s = max(0.0, deadline - self._clock() - SETTLE_GRACE_S / 10)
        try:
            status = self._ask_holder(
                int(row.holder, 16), row.address, row.attempt_id, wait_s
            )
        except PeerError:
            return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_LOST)
        if status.state == "finished" and status.reply is not None:
            if status.reply.outcome == Outcome.NOT_RUN:
                return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_IN_USE)
            return KeyOutcome(reply=status.reply)
        if status.state == "never":
            return self.settle(key, version, Reason.CANCELLED, deadline)
        if status.state == "running":
            return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_IN_USE)
        return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_LOST)

    def settle(
        self, key: str, base: int, reason: Reason, deadline: float
    ) -> KeyOutcome:
        """Make sure that nothing under a key can run from a version.

        Returns:
            Not-run with the reason if that is certain, otherwise what the key's
            holder says, or unknown.
        """
        row = KeyRow(
            KeyState.RELEASED,
            f"ingress-{self._node_id:x}",
            f"{self._node_id:x}",
            self._address,
            "",
            time.time(),
        )
        for _ in range(SETTLE_ATTEMPTS):
            try:
                result = self._keys.write_key(KeyWrite(key, base, row), STORE_TIMEOUT_S)
            except PlatformError:
                return KeyOutcome(Outcome.UNKNOWN, Reason.STORE_UNAVAILABLE)
            verdict = classify_release(result.applied, result.row)
            if verdict is ReleaseStatus.RELEASED:
                return KeyOutcome(Outcome.NOT_RUN, reason)
            if verdict is ReleaseStatus.CONFLICT:
                if self._clock() >= deadline:
                    return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_IN_USE)
                return self._follow(key, result, deadline)
            base = result.version
        return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_IN_USE)

    def _left(self, deadline: float) -> float:
        return max(0.0, min(STORE_TIMEOUT_S, deadline - self._clock()))
