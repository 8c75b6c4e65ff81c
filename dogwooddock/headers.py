"""Header names, forwarding rules and trace identifiers."""

__all__ = [
    "CALLER",
    "IDEMPOTENCY_KEY",
    "NEXT_TICKET",
    "OUTCOME",
    "REASON",
    "TIMEOUT_MS",
    "TRACEPARENT",
    "end_to_end_headers",
    "make_traceparent",
    "new_attempt_id",
    "new_trace_id",
    "trace_id_of",
]

import os
from collections.abc import Iterable
from random import Random

INTERNAL_PREFIX = "dogwooddock-"
OUTCOME = "Dogwooddock-Outcome"
REASON = "Dogwooddock-Reason"
CALLER = "Dogwooddock-Caller"
TIMEOUT_MS = "Dogwooddock-Timeout-Ms"
NEXT_TICKET = "Dogwooddock-Next-Ticket"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "Traceparent"

# Identifiers must be unique but not unpredictable, so a pseudorandom generator that
# is seeded from the operating system once per process suffices.
_ID_RNG = Random(os.urandom(32))

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to forward.

    Removes hop-by-hop headers, headers listed in ``Connection``, ``Content-Length``
    and this package's own headers.
    """
    pairs = list(headers)
    dropped = set(HOP_BY_HOP)
    for name, value in pairs:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in dropped and not name.lower().startswith(INTERNAL_PREFIX)
    ]


def new_trace_id() -> str:
    """Return a random trace id of 32 hexadecimal digits."""
    return f"{_ID_RNG.getrandbits(128):032x}"


def new_attempt_id() -> str:
    """Return a random attempt id of 24 hexadecimal digits."""
    return f"{_ID_RNG.getrandbits(96):024x}"


def make_traceparent(trace_id: str) -> str:
    """Return a W3C ``traceparent`` value with a new span id."""
    return f"00-{trace_id}-{_ID_RNG.getrandbits(64):016x}-01"


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a ``traceparent`` value, or "" if it is malformed."""
    parts = traceparent.split("-")
    if len(parts) < 4 or len(parts[1]) != 32:
        return ""
    return parts[1].lower()
