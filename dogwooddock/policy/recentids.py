"""A bounded memory of identifiers, each kept for a time of its own."""

__all__ = ["RecentIds"]

# Identifiers held before those whose time has passed are looked for.
MIN_SWEPT = 1024
MAX_IDS = 65536


class RecentIds:
    """Remember identifiers until their time has passed.

    When the memory is full, every identifier counts as remembered until the last of
    those that found no room would have been forgotten.
    """

    def __init__(self) -> None:
        self._until: dict[bytes, float] = {}
        self._sweep_at = MIN_SWEPT
        self._all_until = float("-inf")

    def add(self, identifier: bytes, now: float, until: float) -> None:
        """Remember an identifier.

        Args:
            identifier: The identifier.
            now: Monotonic time in seconds.
            until: Monotonic time from which it may be forgotten, in seconds.
        """
        if len(self._until) >= self._sweep_at:
            self._sweep(now)
        if len(self._until) >= MAX_IDS and identifier not in self._until:
            self._all_until = max(self._all_until, until)
            return
        self._until[identifier] = max(until, self._until.get(identifier, until))

    def contains(self, identifier: bytes, now: float) -> bool:
        """Report whether an identifier may have been added and not forgotten."""
        return now < self._all_until or now < self._until.get(identifier, now)

    def _sweep(self, now: float) -> None:
        kept = {item: until for item, until in self._until.items() if now < until}
        self._until = kept
        self._sweep_at = min(MAX_IDS, max(MIN_SWEPT, 2 * len(kept)))
