"""The rate limit of the local target, as its answers and peers state it."""

__all__ = ["TargetRateLimit"]

import structlog

from ..policy.ratelimit import RateLimit
from .wireformat import TargetAnswer

log = structlog.get_logger()


class TargetRateLimit:
    """Keep a rate limit at what the target names.

    A limit that a peer remembers counts only until the target has answered. Only the
    answer of a run ends a limit: a refusal may come from a part of the target that does
    not know of it.

    Args:
        rate: Limit that admission applies.
    """

    def __init__(self, rate: RateLimit):
        self._rate = rate
        self._per_s: float | None = None
        self._confirmed = False

    def reset(self, now: float, target_id: str) -> None:
        """Forget the limit, for a new lifetime of the target."""
        self._confirmed = False
        self._set(now, target_id, None)

    def adopt(self, now: float, target_id: str, per_s: float) -> None:
        """Follow a limit that a peer knows; 0 if it knows none."""
        if per_s and not self._confirmed:
            self._set(now, target_id, per_s)

    def follow(self, now: float, target_id: str, answer: TargetAnswer) -> None:
        """Follow the limit that an answer of the target names."""
        if answer.rate_limit is not None or answer.stamped:
            self._confirmed = True
            self._set(now, target_id, answer.rate_limit)

    def _set(self, now: float, target_id: str, per_s: float | None) -> None:
        if per_s == self._per_s:
            return
        self._per_s = per_s
        self._rate.set(now, per_s)
        shown = "none" if per_s is None else per_s
        log.info("target_rate_limit", target=target_id, per_s=shown)
