"""The steady clock that processes use for leases and timers.

Unlike Python's monotonic clock it also advances while the machine is suspended.
Otherwise a lease that expired during a suspension would still look valid.
"""

from __future__ import annotations

import time

__all__ = ["now_ms", "now_s"]

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return the time since the machine's start in whole milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def now_s() -> float:
    """Return the time since the machine's start in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
