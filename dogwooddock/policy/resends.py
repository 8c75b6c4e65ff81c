"""Rules for sending a request again after an attempt, and whether it is charged."""

__all__ = ["PLATFORM_RULES", "Resend", "ResendRules", "classify_resend"]

from dataclasses import dataclass
from enum import Enum

from .outcomes import Outcome, Reason

# Refusals that cost no work, since no target was asked.
FREE_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.WRONG_TARGET,
        Reason.TARGET_UNREACHABLE,
        Reason.PEER_FAILED,
    }
)


@dataclass(frozen=True, slots=True)
class ResendRules:
    """What an interface promises its callers about further attempts.

    Args:
        statuses: Statuses of answers after which an idempotent request is sent again.
        overload_reasons: Refusals after which another target may have a free slot.
        unknown_reasons: Reasons of unknown outcomes after which an idempotent request
            is sent again.
    """

    statuses: frozenset[int]
    overload_reasons: frozenset[Reason]
    unknown_reasons: frozenset[Reason]


PLATFORM_RULES = ResendRules(
    statuses=frozenset({500, 502, 503}),
    overload_reasons=frozenset({Reason.OVERLOAD, Reason.DISPLACED, Reason.DEADLINE}),
    unknown_reasons=frozenset(
        {
            Reason.TARGET_FAILED,
            Reason.TARGET_LOST,
            Reason.PEER_FAILED,
            # Refused by the target, after an earlier try that may have run.
            Reason.TARGET_SHED,
            Reason.WRONG_TARGET,
        }
    ),
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
    idempotent: bool,
    outcome: Outcome,
    reason: Reason,
    status: int,
    reached: bool,
    rules: ResendRules = PLATFORM_RULES,
) -> Resend:
    """Classify what may follow an attempt.

    Args:
        idempotent: Whether the request may run more than once.
        outcome: Outcome of the attempt.
        reason: Reason that came with it.
        status: HTTP status, if it was answered.
        reached: Whether a target may have received any part of the request; another
            attempt is then charged as a retry, even if the target refused to run it.
        rules: What the interface promises.
    """
    if outcome is Outcome.NOT_RUN:
        if reached:
            return Resend.BUDGETED
        if reason in FREE_REASONS:
            return Resend.FREE
        overloaded = reason in rules.overload_reasons
        return Resend.AFTER_OVERLOAD if overloaded else Resend.NEVER
    if not idempotent or reason is Reason.FAILED_BELOW:
        return Resend.NEVER
    if outcome is Outcome.ANSWERED:
        return Resend.BUDGETED if status in rules.statuses else Resend.NEVER
    return Resend.BUDGETED if reason in rules.unknown_reasons else Resend.NEVER
