"""The steady clock of processes.

It counts the time in which the machine was suspended, unlike the monotonic
clock: a lease that ran out meanwhile must look so afterwards.
"""

from __future__ import annotations

import time

__all__ = ["now_ms", "now_s"]

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return whole milliseconds since the machine's start."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def now_s() -> float:
    """Return seconds since the machine's start."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
