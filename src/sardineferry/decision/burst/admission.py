"""Forecasts waiting and decides what to refuse.

Answers bursts beyond capacity: a job that can't start in time is refused at
once, as its caller can do better than wait, and leaves room to jobs that can.
"""

from __future__ import annotations

__all__ = ["forecast_wait_ms", "max_start_wait_ms", "retry_after_ms"]

# A job waits at least this share of its response-time goal; estimates are off
# by 40%, so that less would refuse jobs that can still be served in time.
MIN_WAIT_GOAL_SHARE = 0.25
RETRY_AFTER_MIN_MS = 200
RETRY_AFTER_MAX_MS = 5_000


def forecast_wait_ms(work_ahead: float, rate: float) -> float:
    """Return how long work that waits takes to be started.

    Without a rate nothing is known, and nothing is refused for it.
    """
    if work_ahead <= 0 or rate <= 0:
        return 0.0
    return work_ahead / rate


def max_start_wait_ms(goal_ms: float, run_ms: float) -> float:
    """Return how long a job may wait for its start and still be in time."""
    return max(MIN_WAIT_GOAL_SHARE * goal_ms, goal_ms - run_ms)


def retry_after_ms(wait_ms: float) -> int:
    """Return when a refused caller may come back: once the backlog is gone."""
    return int(min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms)))
