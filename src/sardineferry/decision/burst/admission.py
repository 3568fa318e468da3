"""Computes how long a job would wait for its start, and how long it may wait.

During a burst beyond capacity, a job that can't start in time is refused at once.
Its caller can do better than wait, and the capacity is left to other jobs.
"""

from __future__ import annotations

__all__ = ["forecast_wait_ms", "max_start_wait_ms", "retry_after_ms"]

# A job may always wait this share of its response-time goal. Estimates of run time
# are off by 40%: with a smaller share, jobs that could be served in time would be
# refused.
MIN_WAIT_GOAL_SHARE = 0.25
RETRY_AFTER_MIN_MS = 200
RETRY_AFTER_MAX_MS = 5_000


def forecast_wait_ms(work_ahead: float, rate: float) -> float:
    """Return how long it takes at this rate until the work ahead has been started.

    Without a known rate this is 0, so that no job is refused for a long wait.
    """
    if work_ahead <= 0 or rate <= 0:
        return 0.0
    return work_ahead / rate


def max_start_wait_ms(goal_ms: float, in_time_wait_ms: float) -> float:
    """Return how long a job may wait for its start before it is refused.

    That is as long as it can still be in time, but at least the minimum share of the
    goal.
    """
    return max(MIN_WAIT_GOAL_SHARE * goal_ms, in_time_wait_ms)


def retry_after_ms(wait_ms: float) -> int:
    """Return the retry delay of a refused caller: the forecast wait, bounded."""
    return int(min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms)))
