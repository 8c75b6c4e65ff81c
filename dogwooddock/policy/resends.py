"""Rules for sending a request again after an attempt, and whether it is charged."""

__all__ = ["Resend", "classify_resend"]

from enum import Enum

from .outcomes import Outcome, Reason

RETRYABLE_STATUSES = frozenset({500, 502, 503})
FREE_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.WRONG_TARGET,
        Reason.TARGET_UNREACHABLE,
        Reason.PEER_FAILED,
    }
)
OVERLOAD_REASONS = frozenset({Reason.OVERLOAD, Reason.DISPLACED, Reason.DEADLINE})
RESENDABLE_UNKNOWN_REASONS = frozenset(
    {Reason.TARGET_FAILED, Reason.TARGET_LOST, Reason.PEER_FAILED}
)


class Resend(Enum):
    """Whether another attempt may follow, and whether the retry budget pays for it.

    FREE and AFTER_OVERLOAD attempts are not charged, BUDGETED ones are. AFTER_OVERLOAD
    means that the target had no free slot in time, but another target may have one.
    """

    NEVER = "never"
    FREE = "free"
    AFTER_OVERLOAD = "after-overload"
    BUDGETED = "budgeted"


def classify_resend(
    idempotent: bool, outcome: Outcome, reason: Reason, status: int, reached: bool
) -> Resend:
    """Classify what may follow an attempt.

    Args:
        idempotent: Whether the request may run more than once.
        outcome: Outcome of the attempt.
        reason: Reason that came with it.
        status: HTTP status, if it was answered.
        reached: Whether a target may have received any part of the request; another
            attempt is then charged as a retry, even if the target refused to run it.
    """
    if outcome is Outcome.NOT_RUN:
        if reached:
            return Resend.BUDGETED
        if reason in FREE_REASONS:
            return Resend.FREE
        return Resend.AFTER_OVERLOAD if reason in OVERLOAD_REASONS else Resend.NEVER
    if not idempotent or reason is Reason.FAILED_BELOW:
        return Resend.NEVER
    if outcome is Outcome.ANSWERED:
        return Resend.BUDGETED if status in RETRYABLE_STATUSES else Resend.NEVER
    return Resend.BUDGETED if reason in RESENDABLE_UNKNOWN_REASONS else Resend.NEVER
