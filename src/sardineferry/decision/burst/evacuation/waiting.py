"""Finds the waiting jobs that can't be started in time after an evacuation."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst import admission

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["WaitingJob", "find_jobs_to_refuse"]

NO_WORKER_REASON = "no worker outside evacuated data centres"
NO_TIME_REASON = "no room in time after an evacuation"


class WaitingJob(NamedTuple):
    """A job with tasks that are not placed.

    ``work`` is that of these tasks, in thousandths of a core times ms.
    ``may_be_refused`` is false if a worker may have run a task, or if the job is held.
    ``has_worker`` is true if a worker outside the evacuated data centres can run it.
    """

    work: float
    latest_start_ms: int
    may_be_refused: bool
    has_worker: bool


def find_jobs_to_refuse(
    jobs: Sequence[WaitingJob], rate: float, now_ms: int
) -> dict[int, str]:
    """Return the indexes of the jobs that can't be started in time, with the reason.

    ``jobs`` are in the order in which they are placed. ``rate`` is the work per ms that
    the remaining workers do for this entry. The work of a refused job does not delay
    the jobs behind it.
    """
    refused: dict[int, str] = {}
    work_ahead = 0.0
    for index, job in enumerate(jobs):
        start_ms = now_ms + admission.forecast_wait_ms(work_ahead, rate)
        if job.may_be_refused and not job.has_worker:
            refused[index] = NO_WORKER_REASON
        elif job.may_be_refused and start_ms > job.latest_start_ms:
            refused[index] = NO_TIME_REASON
        elif job.has_worker:
            work_ahead += job.work
    return refused
