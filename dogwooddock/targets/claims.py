"""Gate side of idempotency keys: claim, release and finish."""

__all__ = ["Claim", "Claims"]

import time
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import PlatformError, PlatformTimeout
from ..keys.committer import KeyService
from ..keys.rows import KeyResult, KeyWrite
from ..peers.wire.ttypes import Attempt, Reply
from ..policy.keys import ClaimStatus, KeyRow, KeyState, classify_claim
from ..policy.outcomes import Reason
from .answers import encode_answer

CLAIM_TIMEOUT_S = 1.0
MAX_CLAIM_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class Claim:
    """Result of claiming a key.

    Args:
        version: Version of the key's row after the claim; 0 if it failed.
        reason: Why the claim failed; empty if it succeeded.
    """

    version: int = 0
    reason: Reason = Reason.NONE


class Claims:
    """Claim, release and finish keys for the attempts of one gate.

    Args:
        keys: Access to the key rows, or None if the node has no platform.
        node_id: Identifier of this node.
        address: Peer address of this node, as ``IP:PORT``.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        keys: KeyService | None,
        node_id: int,
        address: str,
        clock: Callable[[], float],
    ):
        self._keys = keys
        self._holder = f"{node_id:x}"
        self._address = address
        self._clock = clock

    def claim(self, attempt: Attempt, deadline: float) -> Claim:
        """Claim the key of an attempt if its row has the version that its ingress read.

        A write whose answer was lost is checked by reading the row back.

        Args:
            attempt: Attempt whose key to claim.
            deadline: Monotonic deadline in seconds.
        """
        if self._keys is None:
            return Claim(reason=Reason.STORE_UNAVAILABLE)
        claim_row = self._row(attempt, KeyState.CLAIMED)
        write = KeyWrite(attempt.key, attempt.key_base, claim_row)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            timeout_s = min(CLAIM_TIMEOUT_S, deadline - self._clock())
            if timeout_s <= 0:
                break
            try:
                result = self._write_or_read_back(self._keys, write, timeout_s)
            except PlatformTimeout:
                continue
            except PlatformError:
                break
            status = classify_claim(
                result.applied, result.version, result.row, write.base, claim_row
            )
            if status is ClaimStatus.ACQUIRED:
                return Claim(version=result.version)
            if status is ClaimStatus.CONFLICT:
                return Claim(reason=Reason.KEY_IN_USE)
        return Claim(reason=Reason.STORE_UNAVAILABLE)

    @staticmethod
    def _write_or_read_back(
        keys: KeyService, write: KeyWrite, timeout_s: float
    ) -> KeyResult:
        try:
            return keys.write_key(write, timeout_s)
        except PlatformTimeout:
            return keys.read_key(write.key, timeout_s)

    def release(self, attempt: Attempt, version: int) -> int:
        """Release a claimed key whose attempt was never dispatched.

        Returns:
            Row version after the release, or 0 if the release may have failed.
        """
        if not version or self._keys is None:
            return 0
        write = KeyWrite(attempt.key, version, self._row(attempt, KeyState.RELEASED))
        try:
            result = self._keys.write_key(write, CLAIM_TIMEOUT_S)
        except PlatformError:
            return 0
        return result.version if result.applied else 0

    def finish(self, attempt: Attempt, version: int, reply: Reply) -> None:
        """Store the answer of a claimed key in the background."""
        if version and self._keys is not None:
            row = self._row(attempt, KeyState.FINISHED, encode_answer(reply))
            self._keys.write_in_background(KeyWrite(attempt.key, version, row))

    def _row(self, attempt: Attempt, state: KeyState, answer: str = "") -> KeyRow:
        return KeyRow(
            state,
            attempt.attempt_id,
            self._holder,
            self._address,
            answer,
            time.time(),
        )
