"""Refuses jobs with too many tasks on arrival, before an object is made for each.

Load pattern: callers that are not under our control submit small requests for jobs that
no number of workers could run in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst.entry_placement import can_run_job
from sardineferry.decision.burst.entry_state import response_time_goal_ms
from sardineferry.decision.burst.run_limits import MAX_TASKS_PER_JOB
from sardineferry.decision.burst.run_limits import MIN_WIDE_TASKS
from sardineferry.decision.burst.run_limits import count_slots
from sardineferry.decision.burst.run_limits import fits_task_budget
from sardineferry.decision.burst.run_limits import least_run_ms

if TYPE_CHECKING:
    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.requests import BurstJob
    from sardineferry.decision.burst.requests import BurstStep
    from sardineferry.decision.burst.requests import SubmitJob

__all__ = [
    "ABANDON_AFTER_GOALS",
    "describe_excess",
    "find_task_limit_refusal",
    "find_width_refusal",
    "max_job_ms",
]

# A started job is given up if tasks still wait after this many response-time goals:
# its callers then have no use for an answer.
ABANDON_AFTER_GOALS = 3


def find_task_limit_refusal(
    state: BurstEntryState, step: BurstStep, retry_ms: int
) -> tuple[str, int] | None:
    """Return why a job with so many tasks is refused, and the retry delay, or None.

    ``retry_ms`` is the delay if there may be memory for the tasks later.
    """
    if step.tasks > MAX_TASKS_PER_JOB:
        return (f"{step.tasks} tasks exceed the limit of {MAX_TASKS_PER_JOB}", 0)
    if not fits_task_budget(step.tasks, state.task_count, state.task_limit):
        reason = (
            f"no memory for {step.tasks} tasks beside {state.task_count} of "
            f"{state.task_limit}"
        )
        return (reason, retry_ms)
    return None


def find_width_refusal(
    state: BurstEntryState, event: SubmitJob, route: Route
) -> tuple[str, int] | None:
    """Return why a job can't end in time on any number of free workers, or None."""
    step = event.job.steps[0]
    left_ms = max_job_ms(route, step)
    if event.deadline_ms:
        left_ms = min(left_ms, event.deadline_ms)
    reason = describe_excess(state, event.job, route, step.tasks, left_ms)
    return (reason, 0) if reason else None


def max_job_ms(route: Route, step: BurstStep) -> float:
    """Return after which time a started job is given up if tasks still wait.

    With a goal that is shorter than a run, the number of tasks is not what makes a job
    late.
    """
    goal_ms = response_time_goal_ms(route, step.estimate_ms)
    return ABANDON_AFTER_GOALS * max(step.estimate_ms, goal_ms)


def describe_excess(
    state: BurstEntryState, job: BurstJob, route: Route, tasks: int, left_ms: float
) -> str:
    """Return why so many tasks can't start in time, or "" if they may.

    The job is assumed to have all known workers to itself, also those whose agents have
    no link at present. Jobs with few tasks are left to the forecast.
    """
    if tasks < MIN_WIDE_TASKS:
        return ""
    step = job.steps[0]
    slots = [
        count_slots(view.profile.total, step.need, step.spread_limit)
        for view in state.agents.values()
        if can_run_job(view, job, route) and view.profile is not None
    ]
    slowdown = state.worker_slowdowns.typical_slowdown()
    needed_ms = least_run_ms(tasks, step.estimate_ms, slots, slowdown)
    if needed_ms <= left_ms:
        return ""
    return f"{tasks} tasks take {needed_ms:.0f} ms at least, {left_ms:.0f} ms are left"
