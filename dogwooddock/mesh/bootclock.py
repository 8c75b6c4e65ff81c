"""Clock for times that must not stand still while the machine is suspended."""

__all__ = ["boot_time_s"]

import time


def boot_time_s() -> float:
    """Return the time since the machine was booted, suspensions included, in seconds.

    The loop's time stands still during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
