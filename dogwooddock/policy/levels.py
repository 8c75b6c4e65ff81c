"""Admission levels: which importance a gate would refuse, and how edges learn it."""

__all__ = ["LEVEL_SCALE", "LevelController", "LevelTable", "request_rank"]

import zlib
from dataclasses import dataclass, field

LEVEL_SCALE = 100
MAX_LEVEL = 10 * LEVEL_SCALE
WINDOW_S = 0.1
MAX_WINDOWS = 20.0
FULL_UTILIZATION = 1.25
MOST_EXCESS = 1.5
REFUSAL_WEIGHT = 0.3
GAIN_UP = 1.0
GAIN_DOWN = 4.0
GAIN_OF_CHANGE = 30.0
ROUTE_WEIGHT_UP = 0.4
ROUTE_WEIGHT_DOWN = 0.25
HOLD_S = 0.5
STALE_HALF_LIFE_S = 0.2
NO_ARRIVAL = 99


def request_rank(importance: int, identity: str) -> int:
    """Rank a request in hundredths of a class, the same on every hop and resend.

    Requests of one importance are spread over 100 ranks, so that every node refuses
    the same part of a class, no chain is cut half-way, and a resend does not get a
    better chance than the first try.

    Args:
        importance: Importance of the client request.
        identity: The caller's trace id or key, or the chain's trace id.
    """
    share = zlib.crc32(identity.encode()) % LEVEL_SCALE
    return importance * LEVEL_SCALE + share


@dataclass
class LevelController:
    """Turn a gate's load into the level that edges should apply.

    The level follows the load beyond the slots and a short queue: at once by its
    change, and slowly by its size. What edges refuse shows here only after a chain of
    calls has run its course, so a level that moved as fast as the queue would swing
    between a full and an empty gate. Load that it answers: more chains than the
    deepest pool can carry.
    """

    _level: float = 0.0
    _excess: float = 0.0
    _opened_at: float = 0.0
    _arrivals: int = 0
    _refusals: int = 0
    _highest: int = -1
    _lowest: int = NO_ARRIVAL

    def arrived(self, importance: int) -> None:
        """Count an arrival of a class."""
        self._arrivals += 1
        self._highest = max(self._highest, importance)
        self._lowest = min(self._lowest, importance)

    def refused(self) -> None:
        """Count a refusal for load."""
        self._refusals += 1

    def value(self, now: float, utilization: float) -> int:
        """Return the level at a time, in hundredths of a class.

        Args:
            now: Monotonic time in seconds.
            utilization: Share of the gate's limit in use; over 1 with a queue.
        """
        elapsed = now - self._opened_at
        if elapsed >= WINDOW_S:
            self._close_window(min(elapsed / WINDOW_S, MAX_WINDOWS), utilization)
            self._opened_at = now
        return int(self._level)

    def _close_window(self, windows: float, utilization: float) -> None:
        excess = min(MOST_EXCESS, max(-1.0, utilization - FULL_UTILIZATION))
        if self._refusals:
            share = min(1.0, self._refusals / max(1, self._arrivals))
            excess = max(excess, share * REFUSAL_WEIGHT)
        gain = GAIN_UP if excess > 0 else GAIN_DOWN
        step = gain * excess * windows + GAIN_OF_CHANGE * (excess - self._excess)
        self._excess = excess
        self._move(step, excess > 0)
        self._arrivals = 0
        self._refusals = 0
        self._highest = -1
        self._lowest = NO_ARRIVAL

    def _move(self, step: float, full: bool) -> None:
        """Change the level within the classes that arrived."""
        held = wanted = self._level
        ceiling = MAX_LEVEL
        if self._arrivals:
            ceiling = (self._highest + 1) * LEVEL_SCALE
            if full:
                wanted = max(held, self._lowest * LEVEL_SCALE)
        wanted += step
        if wanted > held:
            wanted = max(held, min(ceiling, wanted))
        self._level = max(0.0, wanted)


@dataclass(slots=True)
class _Reading:
    level: int
    at: float


@dataclass
class LevelTable:
    """Remember the latest level of each gate or route, with ageing.

    A level that is not refreshed decays, so requests go through again and bring a
    fresh one.
    """

    _readings: dict[str, _Reading] = field(default_factory=dict)

    def update(self, name: str, level: int, now: float) -> None:
        """Store a level received at a time."""
        if level <= 0:
            self._readings.pop(name, None)
        else:
            self._readings[name] = _Reading(level, now)

    def follow(self, name: str, level: int, now: float) -> None:
        """Move a remembered level towards one received at a time."""
        held = self.level(name, now)
        weight = ROUTE_WEIGHT_UP if level > held else ROUTE_WEIGHT_DOWN
        self.update(name, int(held + (level - held) * weight), now)

    def level(self, name: str, now: float) -> int:
        """Return the level after ageing, in hundredths of a class."""
        reading = self._readings.get(name)
        if reading is None:
            return 0
        stale_s = now - reading.at - HOLD_S
        if stale_s <= 0:
            return reading.level
        aged = int(reading.level * 0.5 ** (stale_s / STALE_HALF_LIFE_S))
        if aged <= 0:
            self._readings.pop(name, None)
            return 0
        return aged

    def snapshot(self, now: float) -> dict[str, int]:
        """Return every level after ageing."""
        return {name: self.level(name, now) for name in list(self._readings)}
