"""The longest latencies of late, by kind of request.

Load answered: requests that arrive at a node which has little time left.
"""

__all__ = ["RecentLatency"]

from dataclasses import dataclass, field

WINDOW_S = 15.0
# Fewer requests say little about how long the next one takes.
MIN_SAMPLES = 10
MAX_KINDS = 1024


@dataclass(slots=True)
class _Longest:
    """Longest latency of a window, in seconds, and the number of its samples."""

    latency_s: float = 0.0
    samples: int = 0


@dataclass
class RecentLatency:
    """Keep the longest latency of each kind over the last one to two windows."""

    _current: dict[str, _Longest] = field(default_factory=dict)
    _previous: dict[str, _Longest] = field(default_factory=dict)
    _window_ends_at: float = 0.0

    def record(self, now: float, kind: str, latency_s: float) -> None:
        """Include the latency of a request that was run, in seconds."""
        self._follow(now)
        if kind not in self._current and len(self._current) >= MAX_KINDS:
            return
        longest = self._current.setdefault(kind, _Longest())
        longest.latency_s = max(longest.latency_s, latency_s)
        longest.samples += 1

    def longest_s(self, now: float, kind: str) -> float | None:
        """Return the longest latency of late, in seconds; None if too few are known."""
        self._follow(now)
        windows = [
            window[kind] for window in (self._current, self._previous) if kind in window
        ]
        if sum(window.samples for window in windows) < MIN_SAMPLES:
            return None
        return max(window.latency_s for window in windows)

    def _follow(self, now: float) -> None:
        """Begin a new window if the current one has ended."""
        if now < self._window_ends_at:
            return
        is_next = now < self._window_ends_at + WINDOW_S
        self._previous = self._current if is_next else {}
        self._current = {}
        self._window_ends_at = now + WINDOW_S
