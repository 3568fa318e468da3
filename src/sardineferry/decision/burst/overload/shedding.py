"""Finds waiting jobs that can't start in time, to be given up at once.

If not all jobs can start in time, the least urgent are given up, and of these the
latest arrivals. Their callers have waited least, and size doesn't matter. A later job
with an earlier latest start would otherwise displace a large job that was admitted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from sardineferry.decision.burst import admission
from sardineferry.decision.burst.overload.order import service_order

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sardineferry.decision.burst.overload.order import WaitingJob

__all__ = [
    "ForecastTerms",
    "OtherBacklog",
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


class OtherBacklog(Protocol):
    """What is known of the work that waits at other entries."""

    def is_known(self, now_ms: int) -> bool:
        """Return whether the work at other entries is known."""

    def work_ahead(self, priority: int, now_ms: int) -> float:
        """Return their waiting work of this priority or a more urgent one."""


class ForecastTerms(NamedTuple):
    """The terms of the forecast of the start of a job, by its priority.

    ``other_work`` waits ahead of the job at other entries, in thousandths of a core
    times ms. ``rate`` is the work per ms that workers do, and ``urgent_share`` the part
    of it that jobs take which are more urgent and have yet to arrive.
    """

    other_work: float
    rate: float
    urgent_share: float = 0.0

    def wait_ms(self, own_work: float) -> float:
        """Return the time until the work ahead has started; 0 if no rate is known.

        ``own_work`` waits here, ahead of the job.
        """
        rate = self.rate * (1.0 - min(MAX_URGENT_SHARE, self.urgent_share))
        return admission.forecast_wait_ms(own_work + self.other_work, rate)


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
