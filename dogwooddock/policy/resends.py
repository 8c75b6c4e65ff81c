"""Whether an attempt that failed is followed by another one, and at what price."""

__all__ = ["Resend", "resend_for"]

from enum import Enum

from .outcomes import Outcome, Reason

FAILED_STATUSES = frozenset({500, 502, 503})
FREE_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.WRONG_TARGET,
        Reason.TARGET_UNREACHABLE,
        Reason.PEER_FAILED,
    }
)
ELSEWHERE_REASONS = frozenset({Reason.OVERLOAD, Reason.DISPLACED, Reason.DEADLINE})
UNKNOWN_REASONS = frozenset(
    {Reason.TARGET_FAILED, Reason.TARGET_LOST, Reason.PEER_FAILED}
)


class Resend(Enum):
    """What follows an attempt."""

    NEVER = "never"
    FREE = "free"
    IF_ROOM = "if-room"
    BUDGETED = "budgeted"


def resend_for(
    idempotent: bool, outcome: Outcome, reason: Reason, status: int, reached: bool
) -> Resend:
    """Return what may follow an attempt.

    Args:
        idempotent: Whether the request may run more than once.
        outcome: Outcome of the attempt.
        reason: Reason that came with it.
        status: HTTP status, if it was answered.
        reached: Whether a target received any of it; another target then counts
            as a retry, also where the first one refused.
    """
    if outcome is Outcome.NOT_RUN:
        if reached:
            return Resend.BUDGETED
        if reason in FREE_REASONS:
            return Resend.FREE
        return Resend.IF_ROOM if reason in ELSEWHERE_REASONS else Resend.NEVER
    if not idempotent or reason is Reason.FAILED_BELOW:
        return Resend.NEVER
    if outcome is Outcome.ANSWERED:
        return Resend.BUDGETED if status in FAILED_STATUSES else Resend.NEVER
    return Resend.BUDGETED if reason in UNKNOWN_REASONS else Resend.NEVER
