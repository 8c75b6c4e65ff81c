"""Concurrency limit that leaves the last slots free if using them slows the others."""

__all__ = ["HeadroomLimit"]

from collections.abc import Iterator
from dataclasses import dataclass, field

from .limits import ConcurrencyLimit

# The last slots are a tenth of them: enough for targets that slow down a little earlier
# or later, and few enough to cost little where only the very last ones do.
USABLE_SHARE = 0.9
# Gain in throughput, by the service times, from which the last slots stay free.
MIN_GAIN = 1.05
MIN_SAMPLES = 40
MEAN_SAMPLES = 200
# Time after which a service time is measured again.
STALE_S = 20.0
DECISION_PERIOD_S = 0.1
MAX_KINDS = 64


@dataclass(slots=True)
class _Mean:
    """Moving average of service times, in seconds."""

    value_s: float = 0.0
    samples: int = 0
    updated_at: float = 0.0

    def add(self, now: float, service_s: float) -> None:
        if now - self.updated_at > STALE_S:
            self.samples = 0
        self.samples = min(MEAN_SAMPLES, self.samples + 1)
        self.value_s += (service_s - self.value_s) / self.samples
        self.updated_at = now

    def is_known(self, now: float) -> bool:
        return self.samples >= MIN_SAMPLES and now - self.updated_at <= STALE_S


@dataclass(slots=True)
class _Kind:
    """Service times of one kind, of calls that started in a usual or in a last slot."""

    usual: _Mean = field(default_factory=_Mean)
    last: _Mean = field(default_factory=_Mean)


@dataclass(slots=True)
class HeadroomLimit(ConcurrencyLimit):
    """Limit at the target's slots, or a few below if that serves more.

    Answers the load of a target that slows down when it is nearly full: with more calls
    than slots, fewer calls at once are more calls per second. Service times of calls
    that start in the last slots are compared with those of the same kind that start
    below; either is measured again once it is STALE_S old.

    Args:
        slots: Requests that the target runs at once.
    """

    slots: int
    _has_headroom: bool = False
    _decided_at: float = 0.0
    _kinds: dict[str, _Kind] = field(default_factory=dict)

    @property
    def value(self) -> int:
        """Return the current limit in requests."""
        return self._usable if self._has_headroom else self.slots

    @property
    def _usable(self) -> int:
        return max(1, min(self.slots - 1, int(self.slots * USABLE_SHARE)))

    def resize(self, floor: int, ceiling: int) -> None:
        """Set the limit to the ceiling, in requests; the floor is ignored."""
        if ceiling != self.slots:
            self.slots = ceiling
            self._has_headroom = False
            self._kinds.clear()

    def record(
        self,
        now: float,
        kind: str,
        service_s: float,
        in_flight: int,
        failed: bool,
        started_with: int = 0,
    ) -> None:
        """Record one finished request, and decide whether to leave slots free."""
        if failed or not started_with:
            return
        times = self._kinds.get(kind)
        if times is None:
            if len(self._kinds) >= MAX_KINDS:
                return
            times = self._kinds[kind] = _Kind()
        mean = times.usual if started_with <= self._usable else times.last
        mean.add(now, service_s)
        if now - self._decided_at >= DECISION_PERIOD_S:
            self._decided_at = now
            self._decide(now)

    def _decide(self, now: float) -> None:
        """Leave slots free or use them all.

        Service times below the last slots are measured anew with each change, so that
        a target that has become slow for another reason soon has all its slots again.
        """
        needs_headroom = self._needs_headroom(now)
        if needs_headroom and not self._has_headroom:
            for kind in self._kinds.values():
                kind.usual.samples = 0
        self._has_headroom = needs_headroom

    def _needs_headroom(self, now: float) -> bool:
        """Report whether fewer calls at once are more per second, or are to be tried.

        The calls in the last slots are compared only while they are known.
        """
        known = [kind for kind in self._kinds.values() if kind.last.is_known(now)]
        ratios = list(_slowdowns(known, now))
        if not ratios:
            return bool(known)
        gain = sum(ratios) / len(ratios) * self._usable / self.slots
        return gain >= MIN_GAIN


def _slowdowns(kinds: list[_Kind], now: float) -> Iterator[float]:
    """Yield how many times as long calls take in the last slots, for each kind."""
    for kind in kinds:
        if kind.usual.is_known(now):
            yield kind.last.value_s / kind.usual.value_s
