"""Histograms of request durations in the Prometheus text format."""

__all__ = ["LatencyHistogram"]

import bisect
from collections import defaultdict
from dataclasses import dataclass, field

BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


@dataclass
class LatencyHistogram:
    """Histogram of request durations, by route."""

    _counts: dict[str, list[int]] = field(
        default_factory=lambda: defaultdict(lambda: [0] * (len(BUCKETS_S) + 1))
    )
    _sums: dict[str, float] = field(default_factory=lambda: defaultdict(float))

    def observe(self, route: str, seconds: float) -> None:
        """Record one duration."""
        self._counts[route][bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self._sums[route] += seconds

    def render(self, name: str) -> str:
        """Return the histogram in the Prometheus text format."""
        lines = [f"# TYPE {name} histogram"]
        for route, counts in self._counts.items():
            total = 0
            for bound, count in zip((*BUCKETS_S, "+Inf"), counts, strict=True):
                total += count
                lines.append(f'{name}_bucket{{route="{route}",le="{bound}"}} {total}')
            lines.append(f'{name}_sum{{route="{route}"}} {self._sums[route]:.6f}')
            lines.append(f'{name}_count{{route="{route}"}} {total}')
        return "\n".join(lines) + "\n"
