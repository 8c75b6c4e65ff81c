"""Decisions of the idempotency key protocol.

Each key has one versioned row in the store. An ingress reads the row when a request
arrives. A gate claims the key by a compare-and-set from the version that the ingress
read, and dispatches the request only once the claim is confirmed. An ingress reports
a request as not-run only after its own compare-and-set from the same version has
succeeded: the version has then changed, and an earlier attempt can no longer claim
the key.
"""

__all__ = [
    "ClaimStatus",
    "KeyAction",
    "KeyPlan",
    "KeyRow",
    "KeyState",
    "ReleaseStatus",
    "classify_claim",
    "classify_release",
    "plan_request",
]

import json
from dataclasses import asdict, dataclass
from enum import Enum, StrEnum


class KeyState(StrEnum):
    """State of a key, as stored in its row."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class KeyRow:
    """Stored row of one idempotency key.

    Args:
        state: State of the key.
        attempt_id: Attempt that wrote the row; for a release by an ingress, an
            identifier of the ingress.
        holder: Identifier of the node that wrote the row, in hexadecimal.
        address: Address of that node's peer port.
        answer: Answer of a finished request in the form of ``StoredAnswer``; empty if
            it was too large to store.
        written_at: Wall-clock time of the write, in seconds.
    """

    state: KeyState
    attempt_id: str
    holder: str
    address: str
    answer: str = ""
    written_at: float = 0.0

    def dumps(self) -> str:
        """Serialize the row as JSON."""
        return json.dumps(asdict(self), separators=(",", ":"))

    @classmethod
    def loads(cls, text: str) -> "KeyRow":
        """Parse a row from JSON."""
        data = json.loads(text)
        data["state"] = KeyState(data["state"])
        return cls(**data)


class KeyAction(Enum):
    """How an ingress handles a request that carries an idempotency key."""

    RUN = "run"
    REPLAY = "replay"
    ASK_HOLDER = "ask-holder"


@dataclass(frozen=True, slots=True)
class KeyPlan:
    """Action for a request that carries an idempotency key.

    Args:
        action: What the ingress does.
        base: Version of the row that was read. With ``KeyAction.RUN`` the gate claims
            the key from this version.
        row: Row that was read; None with ``KeyAction.RUN``.
    """

    action: KeyAction
    base: int = 0
    row: KeyRow | None = None


def plan_request(version: int, row: KeyRow | None) -> KeyPlan:
    """Choose the action for a request from its key's row.

    Args:
        version: Version of the row.
        row: Row of the key, or None if it has none.
    """
    if row is None or row.state is KeyState.RELEASED:
        return KeyPlan(KeyAction.RUN, base=version)
    if row.state is KeyState.FINISHED and row.answer:
        return KeyPlan(KeyAction.REPLAY, base=version, row=row)
    return KeyPlan(KeyAction.ASK_HOLDER, base=version, row=row)


class ClaimStatus(Enum):
    """Result of a gate's attempt to claim a key."""

    ACQUIRED = "acquired"
    CONFLICT = "conflict"
    RETRY = "retry"


def classify_claim(
    applied: bool, version: int, row: KeyRow | None, base: int, claim_row: KeyRow
) -> ClaimStatus:
    """Classify the result of a claim from the write's answer or the row read back.

    The row is read back when the answer to the write was lost.

    Args:
        applied: Whether the write is known to have taken effect.
        version: Current version of the row.
        row: Current row, or None if absent.
        base: Version that the claim was conditional on.
        claim_row: Row that the claim writes.
    """
    if applied:
        return ClaimStatus.ACQUIRED
    if row is not None and _same_claim(row, claim_row):
        return ClaimStatus.ACQUIRED
    if version == base:
        return ClaimStatus.RETRY
    return ClaimStatus.CONFLICT


def _same_claim(row: KeyRow, claim_row: KeyRow) -> bool:
    if row.state is not KeyState.CLAIMED:
        return False
    return row.attempt_id == claim_row.attempt_id and row.holder == claim_row.holder


class ReleaseStatus(Enum):
    """Result of an ingress's attempt to release a key."""

    RELEASED = "released"
    VERSION_CHANGED = "version-changed"
    CONFLICT = "conflict"


def classify_release(applied: bool, row: KeyRow | None) -> ReleaseStatus:
    """Classify the result of a release.

    A release by another node does not prove that the request cannot run: an attempt
    that was given the later version may still claim the key. The release has to be
    retried from that version.

    Args:
        applied: Whether the write took effect.
        row: Current row, or None if absent.
    """
    if applied:
        return ReleaseStatus.RELEASED
    if row is None or row.state is KeyState.RELEASED:
        return ReleaseStatus.VERSION_CHANGED
    return ReleaseStatus.CONFLICT
