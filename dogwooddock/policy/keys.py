"""Protocol of idempotency keys: one versioned row per key.

An ingress reads the row when a request arrives. A gate claims the key by a
compare-and-set from the version that the ingress read, and dispatches only once the
claim is confirmed. A request is reported not-run only after a compare-and-set from
the same version has succeeded, so no earlier attempt can claim the key any more.
"""

__all__ = [
    "ClaimVerdict",
    "KeyPlan",
    "KeyRow",
    "KeyState",
    "Plan",
    "ReleaseVerdict",
    "judge_claim",
    "judge_release",
    "plan_request",
]

import json
from dataclasses import asdict, dataclass
from enum import Enum, StrEnum


class KeyState(StrEnum):
    """State of a key in the table service."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class KeyRow:
    """Row of one key.

    Args:
        state: State of the key.
        attempt_id: Attempt that wrote the row.
        holder: Identity of the node that claimed the key, in hexadecimal.
        address: Address of that node's peer port.
        answer: Finished answer in the form of ``StoredAnswer``, if small.
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
        """Read a row from JSON."""
        data = json.loads(text)
        data["state"] = KeyState(data["state"])
        return cls(**data)


class Plan(Enum):
    """What an ingress does with a keyed request."""

    RUN = "run"
    REPLAY = "replay"
    ASK_HOLDER = "ask-holder"


@dataclass(frozen=True, slots=True)
class KeyPlan:
    """Plan for a keyed request.

    Args:
        plan: What to do.
        base: Version to claim from; valid for ``Plan.RUN``.
        row: Present row; set for the other plans.
    """

    plan: Plan
    base: int = 0
    row: KeyRow | None = None


def plan_request(version: int, row: KeyRow | None) -> KeyPlan:
    """Decide what to do with a request whose key has this row."""
    if row is None or row.state is KeyState.RELEASED:
        return KeyPlan(Plan.RUN, base=version)
    if row.state is KeyState.FINISHED and row.answer:
        return KeyPlan(Plan.REPLAY, base=version, row=row)
    return KeyPlan(Plan.ASK_HOLDER, base=version, row=row)


class ClaimVerdict(Enum):
    """What a gate knows after it tried to claim a key."""

    MINE = "mine"
    TAKEN = "taken"
    RETRY = "retry"


def judge_claim(
    applied: bool, version: int, row: KeyRow | None, base: int, mine: KeyRow
) -> ClaimVerdict:
    """Interpret the result of a claim, or the row read after a lost answer.

    Args:
        applied: Whether the write is known to have taken effect.
        version: Version of the row now.
        row: Row now, or None if absent.
        base: Version that the claim started from.
        mine: Row that the claim wrote.
    """
    if applied:
        return ClaimVerdict.MINE
    if row is not None and _same_claim(row, mine):
        return ClaimVerdict.MINE
    if version == base:
        return ClaimVerdict.RETRY
    return ClaimVerdict.TAKEN


def _same_claim(row: KeyRow, mine: KeyRow) -> bool:
    if row.state is not KeyState.CLAIMED:
        return False
    return row.attempt_id == mine.attempt_id and row.holder == mine.holder


class ReleaseVerdict(Enum):
    """What an ingress knows after it tried to release a key."""

    SETTLED = "settled"
    MOVED = "moved"
    TAKEN = "taken"


def judge_release(applied: bool, row: KeyRow | None) -> ReleaseVerdict:
    """Interpret the result of a release.

    A release by somebody else does not settle a request: an attempt that started
    from that later version may still claim the key. The release has to be tried
    again from there.
    """
    if applied:
        return ReleaseVerdict.SETTLED
    if row is None or row.state is KeyState.RELEASED:
        return ReleaseVerdict.MOVED
    return ReleaseVerdict.TAKEN
