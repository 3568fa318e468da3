"""Forecasts waiting and decides what to refuse.

Answers bursts beyond capacity: a job that can't start in time is refused at
once, as its caller can do better than wait, and leaves room to jobs that can.
"""

from __future__ import annotations

import math

__all__ = ["DrainRate", "forecast_wait_ms", "give_up_after_ms", "retry_after_ms"]

# Time constant of the drain rate: longer than most tasks, shorter than bursts.
RATE_WINDOW_MS = 1_000
# A job waits at least this share of its response-time goal; estimates are off
# by 40%, so that less would refuse jobs that can still be served in time.
LEAST_WAIT_SHARE = 0.25
RETRY_AFTER_MIN_MS = 200
RETRY_AFTER_MAX_MS = 5_000


class DrainRate:
    """Work that ends per millisecond, as a decayed average."""

    def __init__(self) -> None:
        """Begin without work."""
        self.work = 0.0
        self.updated_ms = 0

    def note(self, work: float, now_ms: int) -> None:
        """Take in work (thousandths of a core times ms) that ended."""
        self.decay(now_ms)
        self.work += work

    def decay(self, now_ms: int) -> None:
        """Let earlier work count less."""
        elapsed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        self.work *= math.exp(-elapsed_ms / RATE_WINDOW_MS)

    def rate(self, now_ms: int) -> float:
        """Return work per millisecond."""
        self.decay(now_ms)
        return self.work / RATE_WINDOW_MS


def forecast_wait_ms(work_ahead: float, rate: float) -> float:
    """Return how long work that waits takes to be started.

    Without a rate nothing is known, and nothing is refused for it.
    """
    if work_ahead <= 0 or rate <= 0:
        return 0.0
    return work_ahead / rate


def give_up_after_ms(goal_ms: float, run_ms: float) -> float:
    """Return how long a job may wait for its start and still be in time."""
    return max(LEAST_WAIT_SHARE * goal_ms, goal_ms - run_ms)


def retry_after_ms(wait_ms: float) -> int:
    """Return when a refused caller may come back: once the backlog is gone."""
    return int(min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms)))
