"""Estimates whether a job is late on a worker, and how long it may wait.

A job is in time if it ends within ``slack_factor`` times its work plus a fixed part.
That is a bound on the slowdown of its workers, which is computed once for a job.
"""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ["JobTimes", "expected_wait_ms", "max_slowdown", "max_wait_ms"]


class JobTimes(NamedTuple):
    """The estimated work of a task, and the two parts of the response-time goal."""

    work_ms: float
    slack_factor: float
    fixed_ms: float


def max_slowdown(times: JobTimes, waited_ms: float) -> float:
    """Return up to which slowdown a job that has waited so long is in time."""
    spare_ms = times.slack_factor * times.work_ms + times.fixed_ms - waited_ms
    if times.work_ms <= 0:
        return math.inf if spare_ms >= 0 else 0.0
    return max(0.0, spare_ms / times.work_ms)


def max_wait_ms(times: JobTimes, slowdown: float) -> float:
    """Return how long a job may wait so that it is in time at this slowdown."""
    return times.fixed_ms + (times.slack_factor - slowdown) * times.work_ms


def expected_wait_ms(
    need_cpu: int, total_cpu: int, run_ms: float, sharing_entries: int
) -> float:
    """Return how long full workers take to free this much capacity for an entry.

    A worker's capacity is freed once in the average time of a run, and the entries that
    are linked to it get equal shares.
    """
    if total_cpu <= 0:
        return math.inf
    return need_cpu * run_ms * max(1, sharing_entries) / total_cpu
