"""Requests from callers and the replies to them."""

__all__ = ["CallerReply", "CallerRequest", "problem_reply"]

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ..headers import NEXT_TICKET, OUTCOME, REASON
from ..policy.outcomes import Outcome, Reason

Headers = list[tuple[str, str]]

RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 4


@dataclass(slots=True)
class CallerRequest:
    """A complete request from a caller.

    Args:
        caller: Name of the caller.
        method: HTTP method.
        path: Path with the query string.
        headers: End-to-end headers.
        body: Complete body.
        key: Value of ``Idempotency-Key``.
        trace_id: Trace id that the caller sent, or empty. A router's trace id only
            determines the admission rank, so that a resend gets the same rank; the
            local target's identifies the call chain.
        timeout_ms: Timeout set by the caller, in milliseconds; 0 if it set none.
        local: Whether the local target sent the request.
        on_start: Called before the first attempt, with a function that cancels the
            request, and whether it is idempotent.
    """

    caller: str
    method: str
    path: str
    headers: Headers
    body: bytes
    key: str = ""
    trace_id: str = ""
    timeout_ms: int = 0
    local: bool = False
    on_start: Callable[[Callable[[], None], bool], None] | None = None


@dataclass(slots=True)
class CallerReply:
    """Reply to a caller: an answer of a target, or a problem document."""

    outcome: Outcome
    reason: Reason
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class _Problem:
    status: int
    title: str
    remedy: str


_RETRY = "Send it again after Retry-After with the same key."
_PROBLEMS: dict[Reason, _Problem] = {
    Reason.OVERLOAD: _Problem(503, "Refused for load", _RETRY),
    Reason.DISPLACED: _Problem(503, "Displaced by a more important request", _RETRY),
    Reason.DEADLINE: _Problem(504, "Out of time", "Allow more time."),
    Reason.DRAINING: _Problem(503, "The targets are leaving", _RETRY),
    Reason.NO_ROUTE: _Problem(404, "No route", "Use a path of the route table."),
    Reason.NO_TARGET: _Problem(503, "No target in the pool", _RETRY),
    Reason.KEY_REQUIRED: _Problem(
        400, "Idempotency-Key required", "Add an Idempotency-Key header."
    ),
    Reason.KEY_INVALID: _Problem(
        400, "Idempotency-Key invalid", "Use 1 to 200 printable ASCII characters."
    ),
    Reason.KEY_IN_USE: _Problem(
        409, "The key belongs to another attempt", "Ask again with the same key."
    ),
    Reason.KEY_LOST: _Problem(
        502, "The node that ran the key is gone", "Check the result at its service."
    ),
    Reason.TICKET_SPENT: _Problem(
        409, "The ticket cannot be used", "Use a new ticket."
    ),
    Reason.TICKET_LOST: _Problem(
        502, "The issuer of the ticket is gone", "Check the result at its service."
    ),
    Reason.STORE_UNAVAILABLE: _Problem(
        503, "Keys cannot be checked now", "Use a ticket, or ask again later."
    ),
    Reason.QUARANTINED: _Problem(
        422, "This request makes targets crash", "Do not send it again."
    ),
    Reason.TARGET_UNREACHABLE: _Problem(503, "The target is unreachable", _RETRY),
    Reason.TARGET_FAILED: _Problem(
        502, "The target failed in the middle", "Ask again with the same key."
    ),
    Reason.TARGET_LOST: _Problem(
        502, "The target was lost in the middle", "Ask again with the same key."
    ),
    Reason.PEER_FAILED: _Problem(
        502, "The node beside the target failed", "Ask again with the same key."
    ),
    Reason.CANCELLED: _Problem(499, "Cancelled", "Send it again if it is wanted."),
    Reason.MALFORMED: _Problem(400, "Malformed request", "Send valid HTTP/1.1."),
    Reason.TOO_LARGE: _Problem(413, "Body too large", "Send a smaller body."),
}


def problem_reply(
    outcome: Outcome, reason: Reason, rng: Random, ticket: str = ""
) -> CallerReply:
    """Build the RFC 9457 problem reply for a request that got no answer.

    Replies with status 503 or 504 carry a random ``Retry-After``, so that refused
    callers do not all come back at once.
    """
    problem = _PROBLEMS[reason]
    document = {
        "type": f"urn:dogwooddock:problem:{reason}",
        "title": problem.title,
        "status": problem.status,
        "detail": problem.remedy,
        "outcome": str(outcome),
    }
    headers = [
        ("Content-Type", "application/problem+json"),
        (OUTCOME, str(outcome)),
        (REASON, str(reason)),
    ]
    if problem.status in (503, 504):
        delay_s = rng.randint(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
        headers.append(("Retry-After", str(delay_s)))
    if ticket:
        headers.append((NEXT_TICKET, ticket))
    body = json.dumps(document).encode()
    return CallerReply(outcome, reason, problem.status, headers, body)
