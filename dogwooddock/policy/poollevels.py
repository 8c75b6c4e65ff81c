"""Admission level of a pool: the mean of what its gates report."""

__all__ = ["PoolLevels"]

from dataclasses import dataclass, field

from .levels import decayed_level

# Time over which reports are averaged, and the bounds of the weight of one of them.
MEAN_SPAN_S = 0.2
MIN_WEIGHT = 0.03
MAX_WEIGHT = 0.3
MAX_POOLS = 4096


@dataclass(slots=True)
class _Mean:
    level: float = 0.0
    updated_at: float = 0.0


@dataclass
class PoolLevels:
    """Average the levels that the gates of each pool report.

    Answers the load of a large pool, some of whose gates are busier than others. The
    highest level that a chain of ten calls meets is that of the busiest gates, so
    chains of many calls would be refused before those of few, and while other gates
    have room.
    """

    _means: dict[str, _Mean] = field(default_factory=dict)

    def record(self, pool: str, level: int, now: float) -> None:
        """Include the level that a gate of a pool reports."""
        mean = self._means.get(pool)
        if mean is None:
            if level <= 0 or len(self._means) >= MAX_POOLS:
                return
            mean = self._means[pool] = _Mean()
        weight = (now - mean.updated_at) / MEAN_SPAN_S
        weight = max(MIN_WEIGHT, min(MAX_WEIGHT, weight))
        current = decayed_level(mean.level, now - mean.updated_at)
        mean.level = current + (level - current) * weight
        mean.updated_at = now

    def level(self, pool: str, now: float) -> int:
        """Return the level in hundredths of a class; it decays without reports."""
        mean = self._means.get(pool)
        if mean is None:
            return 0
        return int(decayed_level(mean.level, now - mean.updated_at))

    def snapshot(self, now: float) -> dict[str, int]:
        """Return the level of every pool that has one."""
        levels = {pool: self.level(pool, now) for pool in self._means}
        return {pool: level for pool, level in levels.items() if level}
