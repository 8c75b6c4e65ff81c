"""Ingress side of requests that carry an idempotency key chosen by the caller."""

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
from ..targets.answers import decode_answer

STORE_TIMEOUT_S = 1.0
# The wait for the holder of a key ends this long before the deadline.
HOLDER_WAIT_MARGIN_S = 0.05
MAX_RELEASE_ATTEMPTS = 4

AskHolder = Callable[[int, str, str, float], KeyStatus]


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """Result of looking up a key or of confirming that its request did not run.

    Args:
        outcome: Outcome to report, if ``reason`` is set.
        reason: Reason to report; empty if the request may run.
        base: Row version that the claim is conditional on, if the request may run.
        reply: Reply of an earlier attempt, to be returned again.
    """

    outcome: Outcome = Outcome.UNKNOWN
    reason: Reason = Reason.NONE
    base: int = 0
    reply: Reply | None = None

    @property
    def settled(self) -> bool:
        """Report whether the request must not run now."""
        return self.reply is not None or self.reason is not Reason.NONE


class KeyedRequests:
    """Look up the keys of arriving requests and confirm that a request did not run.

    Args:
        keys: Access to the key rows.
        ask_holder: Function that asks the node holding a key for the status of its
            attempt; takes the node, its address, the attempt and the longest wait
            in seconds.
        node_id: Identifier of this node.
        address: Peer address of this node, as ``IP:PORT``.
        clock: Monotonic clock in seconds.
    """

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

    def lookup(self, key: str, deadline: float) -> KeyOutcome:
        """Decide whether a request may run, from the row of its key.

        Args:
            key: Idempotency key of the request.
            deadline: Monotonic deadline in seconds.
        """
        try:
            result = self._keys.read_key(key, self._store_timeout_s(deadline))
        except PlatformError:
            return KeyOutcome(Outcome.UNKNOWN, Reason.STORE_UNAVAILABLE)
        return self._resolve(key, result, deadline)

    def _resolve(self, key: str, result: KeyResult, deadline: float) -> KeyOutcome:
        plan = plan_request(result.version, result.row)
        if plan.action is KeyAction.RUN:
            return KeyOutcome(base=plan.base)
        assert plan.row is not None
        if plan.action is KeyAction.REPLAY:
            return KeyOutcome(reply=decode_answer(plan.row.answer))
        return self._resolve_from_holder(key, plan.row, plan.base, deadline)

    def _resolve_from_holder(
        self, key: str, row: KeyRow, version: int, deadline: float
    ) -> KeyOutcome:
        wait_s = max(0.0, deadline - self._clock() - HOLDER_WAIT_MARGIN_S)
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
            return self.confirm_not_run(key, version, Reason.CANCELLED, deadline)
        if status.state == "running":
            return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_IN_USE)
        return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_LOST)

    def confirm_not_run(
        self, key: str, base: int, reason: Reason, deadline: float
    ) -> KeyOutcome:
        """Release a key, so that no earlier attempt with this key can still run.

        Args:
            key: Idempotency key of the request.
            base: Row version that earlier claims may have been conditional on.
            reason: Reason to report if the release succeeds.
            deadline: Monotonic deadline in seconds.

        Returns:
            Not-run with the reason if the release succeeded; otherwise the result
            reported by the holder of the key, or unknown.
        """
        row = KeyRow(
            KeyState.RELEASED,
            f"ingress-{self._node_id:x}",
            f"{self._node_id:x}",
            self._address,
            "",
            time.time(),
        )
        for _ in range(MAX_RELEASE_ATTEMPTS):
            try:
                result = self._keys.write_key(KeyWrite(key, base, row), STORE_TIMEOUT_S)
            except PlatformError:
                return KeyOutcome(Outcome.UNKNOWN, Reason.STORE_UNAVAILABLE)
            status = classify_release(result.applied, result.row)
            if status is ReleaseStatus.RELEASED:
                return KeyOutcome(Outcome.NOT_RUN, reason)
            if status is ReleaseStatus.CONFLICT:
                if self._clock() >= deadline:
                    return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_IN_USE)
                return self._resolve(key, result, deadline)
            base = result.version
        return KeyOutcome(Outcome.UNKNOWN, Reason.KEY_IN_USE)

    def _store_timeout_s(self, deadline: float) -> float:
        return max(0.0, min(STORE_TIMEOUT_S, deadline - self._clock()))
