"""Admission levels: the rank below which edges refuse requests for a gate or route."""

__all__ = [
    "LEVEL_SCALE",
    "LevelController",
    "LevelTable",
    "decayed_level",
    "request_rank",
]

import zlib
from dataclasses import dataclass, field

LEVEL_SCALE = 100
MAX_LEVEL = 10 * LEVEL_SCALE
WINDOW_S = 0.1
MAX_WINDOWS = 20.0
TARGET_UTILIZATION = 1.25
MAX_EXCESS = 1.5
REFUSAL_WEIGHT = 0.3
INTEGRAL_GAIN_UP = 1.0
INTEGRAL_GAIN_DOWN = 4.0
PROPORTIONAL_GAIN = 30.0
SMOOTHING_UP = 0.4
SMOOTHING_DOWN = 0.25
HOLD_S = 0.5
STALE_HALF_LIFE_S = 0.2
NO_ARRIVAL_CLASS = 99


def request_rank(importance: int, identity: str) -> int:
    """Rank a request in hundredths of an importance class.

    The rank is a hash of the identity, so it is the same on every hop and resend.
    Requests of one importance are spread over 100 ranks: every node refuses the same
    part of a class, no chain is refused after some of its calls have run, and a resend
    has no better chance than the first attempt.

    Args:
        importance: Importance of the client request.
        identity: The caller's trace id or key, or the chain's trace id.
    """
    offset = zlib.crc32(identity.encode()) % LEVEL_SCALE
    return importance * LEVEL_SCALE + offset


@dataclass
class LevelController:
    """Derive the admission level that edges should apply from a gate's load.

    A PI controller on the load that exceeds the slots and a short queue: the
    proportional term follows a change of the excess at once, the integral term follows
    its size slowly. A refusal at the edges lowers the load here only after the calls
    in progress have finished, so a level that moved as fast as the queue would
    oscillate between a full and an empty gate. The controller is meant for overload in
    which more chains arrive than the most downstream pool can serve.
    """

    _level: float = 0.0
    _excess: float = 0.0
    _window_start: float = 0.0
    _arrivals: int = 0
    _refusals: int = 0
    _lowest_class: int = NO_ARRIVAL_CLASS

    def record_arrival(self, importance: int) -> None:
        """Count an arrival of an importance class."""
        self._arrivals += 1
        self._lowest_class = min(self._lowest_class, importance)

    def record_refusal(self) -> None:
        """Count a refusal that overload caused."""
        self._refusals += 1

    def value(self, now: float, utilization: float) -> int:
        """Return the level in hundredths of an importance class.

        Closes the measurement window if it has lasted WINDOW_S.

        Args:
            now: Monotonic time in seconds.
            utilization: Calls in flight and queued, over the gate's limit.
        """
        elapsed = now - self._window_start
        if elapsed >= WINDOW_S:
            self._close_window(min(elapsed / WINDOW_S, MAX_WINDOWS), utilization)
            self._window_start = now
        return int(self._level)

    def _close_window(self, windows: float, utilization: float) -> None:
        """Update the level and start a new window.

        Args:
            windows: Time since the last update, in window lengths.
            utilization: Calls in flight and queued, over the gate's limit.
        """
        excess = min(MAX_EXCESS, max(-1.0, utilization - TARGET_UTILIZATION))
        if self._refusals:
            share = min(1.0, self._refusals / max(1, self._arrivals))
            excess = max(excess, share * REFUSAL_WEIGHT)
        gain = INTEGRAL_GAIN_UP if excess > 0 else INTEGRAL_GAIN_DOWN
        step = gain * excess * windows + PROPORTIONAL_GAIN * (excess - self._excess)
        self._excess = excess
        self._apply_step(step, excess > 0)
        self._arrivals = 0
        self._refusals = 0
        self._lowest_class = NO_ARRIVAL_CLASS

    def _apply_step(self, step: float, overloaded: bool) -> None:
        """Change the level by a step.

        A rise stays within the lowest class that arrived: nothing more important is
        refused while the gate still gets what is less important.
        """
        current = updated = self._level
        ceiling = MAX_LEVEL
        if self._arrivals:
            ceiling = (self._lowest_class + 1) * LEVEL_SCALE
            if overloaded:
                updated = max(current, self._lowest_class * LEVEL_SCALE)
        updated += step
        if updated > current:
            updated = max(current, min(ceiling, updated))
        self._level = max(0.0, updated)


def decayed_level(level: float, age_s: float) -> float:
    """Return what is left of a level that was reported some seconds ago."""
    stale_s = max(0.0, age_s - HOLD_S)
    return level * 0.5 ** (stale_s / STALE_HALF_LIFE_S)


@dataclass(slots=True)
class _ReceivedLevel:
    level: int
    received_at: float


@dataclass
class LevelTable:
    """Store the latest level received from each gate or for each route.

    A level that is not refreshed decays, so that requests are let through again and
    their replies bring a current one.
    """

    _received: dict[str, _ReceivedLevel] = field(default_factory=dict)

    def update(self, name: str, level: int, now: float) -> None:
        """Store a received level; 0 removes the entry."""
        if level <= 0:
            self._received.pop(name, None)
        else:
            self._received[name] = _ReceivedLevel(level, now)

    def update_smoothed(self, name: str, level: int, now: float) -> None:
        """Move the stored level a part of the way towards a received one."""
        current = self.level(name, now)
        weight = SMOOTHING_UP if level > current else SMOOTHING_DOWN
        self.update(name, int(current + (level - current) * weight), now)

    def level(self, name: str, now: float) -> int:
        """Return the decayed level in hundredths of a class; 0 if none is stored."""
        received = self._received.get(name)
        if received is None:
            return 0
        decayed = int(decayed_level(received.level, now - received.received_at))
        if decayed <= 0:
            self._received.pop(name, None)
            return 0
        return decayed

    def snapshot(self, now: float) -> dict[str, int]:
        """Return the decayed level of every gate and route."""
        return {name: self.level(name, now) for name in list(self._received)}
