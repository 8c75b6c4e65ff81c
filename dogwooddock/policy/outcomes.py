"""Outcomes of a request and the reasons for them."""

__all__ = ["RETRY_INVITING_STATUSES", "Outcome", "Reason"]

from enum import StrEnum

# Clients take these statuses to mean that the request did not run.
RETRY_INVITING_STATUSES = frozenset({408, 421, 429, 503})


class Outcome(StrEnum):
    """What is known about the run of a request: answered, not run, or unknown."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was not answered."""

    NONE = ""
    OVERLOAD = "overload"
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    KEY_REQUIRED = "key-required"
    KEY_INVALID = "key-invalid"
    KEY_IN_USE = "key-in-use"
    KEY_LOST = "key-lost"
    TICKET_SPENT = "ticket-spent"
    TICKET_LOST = "ticket-lost"
    STORE_UNAVAILABLE = "store-unavailable"
    QUARANTINED = "quarantined"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_FAILED = "target-failed"
    TARGET_LOST = "target-lost"
    TARGET_SHED = "target-shed"
    WRONG_TARGET = "wrong-target"
    NO_CONFIG = "no-config"
    FAILED_BELOW = "failed-below"
    PEER_FAILED = "peer-failed"
    CANCELLED = "cancelled"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_PARENT = "unknown-parent"
    QUOTA = "quota"
    STALE_CONFIG = "stale-config"
    MEMORY = "memory"
