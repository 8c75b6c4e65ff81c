"""Limits on the requests that one target runs at once."""

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "StaticLimit"]

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

COLD_START_FRACTION = 0.25
GROWTH_PER_WINDOW = 0.15
LATENCY_TOLERANCE = 1.6
SHRINK_FLOOR = 0.7
FAILURE_SHRINK = 0.85
WINDOW_S = 0.25
WINDOW_SAMPLES = 8
BASELINE_DECAY = 0.02
SMOOTHING = 0.3


class ConcurrencyLimit(ABC):
    """Decide how many requests a target may run at once."""

    @property
    @abstractmethod
    def value(self) -> int:
        """Return the present limit in requests."""

    @abstractmethod
    def record(
        self, now: float, kind: str, service_s: float, in_flight: int, failed: bool
    ) -> None:
        """Account for one finished request.

        Args:
            now: Monotonic time in seconds.
            kind: Kind of the request; latencies are compared within one kind.
            service_s: Time spent in the target itself, in seconds.
            in_flight: Requests in flight when this one was dispatched.
            failed: Whether the target failed or shed the request.
        """

    @abstractmethod
    def resize(self, floor: int, ceiling: int) -> None:
        """Adopt new bounds."""


class StaticLimit(ConcurrencyLimit):
    """Keep one limit for ever."""

    def __init__(self, ceiling: int):
        self._ceiling = ceiling

    @property
    def value(self) -> int:
        """Return the present limit in requests."""
        return self._ceiling

    def record(
        self, now: float, kind: str, service_s: float, in_flight: int, failed: bool
    ) -> None:
        """Ignore the sample."""

    def resize(self, floor: int, ceiling: int) -> None:
        """Adopt the new ceiling."""
        self._ceiling = ceiling


@dataclass(slots=True)
class _Baseline:
    service_s: float


@dataclass(slots=True)
class _Window:
    opened_at: float = 0.0
    samples: int = 0
    ratio_sum: float = 0.0
    failures: int = 0
    peak_in_flight: int = 0


@dataclass(slots=True)
class AdaptiveLimit(ConcurrencyLimit):
    """Follow the latency and the failures of a target.

    The limit grows while the target's own time stays near its baseline and the
    limit is in use, and shrinks in proportion to the excess otherwise. It starts
    at a fraction of the ceiling so that a cold target is not flooded.

    Args:
        floor: Lowest limit, in requests.
        ceiling: Highest limit, in requests.
    """

    floor: int
    ceiling: int
    _limit: float = 0.0
    _baselines: dict[str, _Baseline] = field(default_factory=dict)
    _window: _Window = field(default_factory=_Window)

    def __post_init__(self) -> None:
        self._limit = max(self.floor, self.ceiling * COLD_START_FRACTION)

    @property
    def value(self) -> int:
        """Return the present limit in requests."""
        return max(self.floor, min(self.ceiling, int(self._limit + 0.5)))

    def resize(self, floor: int, ceiling: int) -> None:
        """Adopt new bounds."""
        self.floor = floor
        self.ceiling = ceiling
        self._limit = max(floor, min(ceiling, self._limit))

    def record(
        self, now: float, kind: str, service_s: float, in_flight: int, failed: bool
    ) -> None:
        """Account for one finished request."""
        window = self._window
        window.samples += 1
        window.peak_in_flight = max(window.peak_in_flight, in_flight)
        if failed:
            window.failures += 1
        else:
            window.ratio_sum += self._ratio(kind, service_s)
        full = window.samples >= WINDOW_SAMPLES
        if full and now - window.opened_at >= WINDOW_S:
            self._adjust(window)
            self._window = _Window(opened_at=now)

    def _ratio(self, kind: str, service_s: float) -> float:
        baseline = self._baselines.get(kind)
        if baseline is None:
            self._baselines[kind] = _Baseline(service_s)
            return 1.0
        if service_s < baseline.service_s:
            baseline.service_s += (service_s - baseline.service_s) * SMOOTHING
        else:
            baseline.service_s += (service_s - baseline.service_s) * BASELINE_DECAY
        return service_s / max(baseline.service_s, 1e-6)

    def _adjust(self, window: _Window) -> None:
        answered = window.samples - window.failures
        if window.failures * 5 > window.samples:
            self._limit *= FAILURE_SHRINK
        elif answered and window.ratio_sum / answered > LATENCY_TOLERANCE:
            excess = LATENCY_TOLERANCE * answered / window.ratio_sum
            self._limit *= max(SHRINK_FLOOR, excess)
        elif window.peak_in_flight >= self._limit * 0.8:
            self._limit += max(1.0, self._limit * GROWTH_PER_WINDOW)
        self._limit = max(float(self.floor), min(float(self.ceiling), self._limit))
