"""Finds waiting jobs that can't start in time, to be given up at once.

If not all jobs can start in time, the least urgent are given up, and of these the
latest arrivals. Their callers have waited least, and size doesn't matter. A later job
with an earlier latest start would otherwise displace a large job that was admitted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst import admission
from sardineferry.decision.burst.overload.order import service_order

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sardineferry.decision.burst.overload.order import WaitingJob

__all__ = [
    "ForecastTerms",
    "find_jobs_to_give_up",
    "max_decision_wait_ms",
]

# A job that may be overtaken is started or refused within this share of its goal, so
# that its caller doesn't wait in vain. The most urgent jobs may wait longer: with the
# same bound 2% more of them were refused in simulated bursts.
DECISION_GOAL_SHARE = 0.25
# Bounds the forecast while more urgent work arrives than the workers can do.
MAX_URGENT_SHARE = 0.9


def max_decision_wait_ms(goal_ms: float, max_start_wait_ms: float) -> float:
    """Return how long a job may wait that more urgent ones may overtake."""
    return min(max_start_wait_ms, DECISION_GOAL_SHARE * goal_ms)


class ForecastTerms(NamedTuple):
    """The terms of the forecast of the start of a job, by its priority.

    Rates are the work per ms that workers do: ``own_rate`` for this entry, by its
    share, and ``total_rate`` for all. ``other_work`` waits ahead of the job at other
    entries, in thousandths of a core times ms; it is None if none is known to wait
    there. ``others_yield`` is true if less urgent work waits at one of them.
    ``urgent_share`` is the part of the rate that jobs take which are more urgent and
    have yet to arrive.
    """

    own_rate: float
    total_rate: float = 0.0
    other_work: float | None = None
    others_yield: bool = False
    urgent_share: float = 0.0

    def wait_ms(self, own_work: float) -> float:
        """Return the time until the work ahead has started; 0 if no rate is known.

        ``own_work`` waits here, ahead of the job. All workers do all of the work ahead,
        but entries that wait race for each piece of capacity. So one whose queue is
        long gets no more than its share, unless the others leave capacity to it.
        """
        left_share = 1.0 - min(MAX_URGENT_SHARE, self.urgent_share)
        by_share = admission.forecast_wait_ms(own_work, self.own_rate * left_share)
        if self.other_work is None:
            return by_share
        by_total = admission.forecast_wait_ms(
            own_work + self.other_work, self.total_rate * left_share
        )
        return by_total if self.others_yield else max(by_total, by_share)


def choose_job_to_give_up(candidates: Sequence[WaitingJob]) -> WaitingJob:
    """Return the latest arrival of these jobs, which are equally urgent.

    Of those that arrived in the same ms it is the one that is served last.
    """
    return max(reversed(candidates), key=lambda job: job.arrived_ms)


def find_jobs_to_give_up(
    jobs: Iterable[WaitingJob],
    terms: Callable[[int], ForecastTerms],
    now_ms: int,
) -> list[WaitingJob]:
    """Return the jobs to give up, so that all others can start in time.

    ``terms`` returns the terms of the forecast for a priority. Jobs are served in the
    order of ``service_order``.
    """
    ordered = sorted(jobs, key=lambda job: service_order(*job.rank()))
    terms_by_priority = {
        priority: terms(priority) for priority in {job.priority for job in ordered}
    }
    given_up: set[str] = set()
    own_work = 0.0
    # Jobs of the present priority that were passed, may be given up and are not yet.
    candidates: list[WaitingJob] = []
    for job in ordered:
        if candidates and candidates[0].priority != job.priority:
            candidates = []
        own_work += job.work
        if not job.may_be_given_up:
            continue
        candidates.append(job)
        while True:
            wait_ms = terms_by_priority[job.priority].wait_ms(own_work - job.work)
            if now_ms + wait_ms <= job.latest_start_ms:
                break
            chosen = choose_job_to_give_up(candidates)
            candidates.remove(chosen)
            given_up.add(chosen.job_id)
            own_work -= chosen.work
            if chosen is job:
                break
    return [job for job in ordered if job.job_id in given_up]
