"""Header names and the rules for passing headers on."""

__all__ = [
    "CALLER",
    "IDEMPOTENCY_KEY",
    "NEXT_TICKET",
    "OUTCOME",
    "REASON",
    "TIMEOUT_MS",
    "TRACEPARENT",
    "end_to_end",
    "make_traceparent",
    "new_attempt_id",
    "new_trace_id",
    "trace_id_of",
]

import os
from collections.abc import Iterable
from random import Random

PREFIX = "dogwooddock-"
OUTCOME = "Dogwooddock-Outcome"
REASON = "Dogwooddock-Reason"
CALLER = "Dogwooddock-Caller"
TIMEOUT_MS = "Dogwooddock-Timeout-Ms"
NEXT_TICKET = "Dogwooddock-Next-Ticket"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "Traceparent"

# Identifiers must be unique, not secret: one seed from the system per process.
_IDS = Random(os.urandom(32))

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


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Drop hop-by-hop headers, those that Connection names, and internal ones."""
    pairs = list(headers)
    dropped = set(HOP_BY_HOP)
    for name, value in pairs:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in dropped and not name.lower().startswith(PREFIX)
    ]


def new_trace_id() -> str:
    """Return a random trace id of 32 hexadecimal digits."""
    return f"{_IDS.getrandbits(128):032x}"


def new_attempt_id() -> str:
    """Return a random attempt id of 24 hexadecimal digits."""
    return f"{_IDS.getrandbits(96):024x}"


def make_traceparent(trace_id: str) -> str:
    """Return a W3C ``traceparent`` value with a new span id."""
    return f"00-{trace_id}-{_IDS.getrandbits(64):016x}-01"


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a ``traceparent`` value, or an empty string."""
    parts = traceparent.split("-")
    if len(parts) < 4 or len(parts[1]) != 32:
        return ""
    return parts[1].lower()
