"""Admits or refuses a submission before any of its tasks is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import fits
from sardineferry.decision.entry import ownership
from sardineferry.decision.entry.jobs import TrackedJob
from sardineferry.decision.entry.jobs import Waiter
from sardineferry.decision.entry.jobs import build_job_answer
from sardineferry.decision.entry.jobs import estimate_bytes
from sardineferry.decision.entry.jobs import fingerprint_of
from sardineferry.decision.entry.jobs import fits_job_budget
from sardineferry.decision.entry.outcomes import answer_waiter
from sardineferry.decision.entry.outcomes import refuse_job
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.routing import expected_run_ms
from sardineferry.decision.entry.routing import fastest_run_time_factor
from sardineferry.messages.job import JobAnswer

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages.job import Job

__all__ = ["admit", "submit"]

# Limit of all waiting tasks, as a multiple of the queue's limit. They may exceed
# the latter because the share of a team shrinks when other teams come, while its
# tasks stay queued.
TOTAL_QUEUE_FACTOR = 2
# Longest retry delay that a refused caller is given.
MAX_RETRY_AFTER_MS = 30_000
# Share of the expected run time that a job must have left. Run times vary, and
# half the mean is still plausible.
MIN_RUN_TIME_SHARE = 0.5


class Refusal(Exception):  # noqa: N818
    """A job is not admitted.

    If ``retry_after_ms`` is above zero, a submission after it may succeed.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        """Keep the reason that the caller is given."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


def submit(state: EntryState, spec: Job, waiter: Waiter, now_ms: int) -> None:
    """Attach the waiter to a known submission, or begin a new one.

    A key that was used for other tasks is answered with a conflict.
    """
    fingerprint = fingerprint_of(spec)
    known = state.jobs.get(spec.submission)
    if known is not None and known.fingerprint != fingerprint:
        reason = "conflict: the key was used for other tasks"
        answer_waiter(
            state, waiter, JobAnswer(spec.submission, "unknown", reason, 0, ())
        )
        return
    if known is not None and can_attach(known):
        attach(state, known, waiter)
        return
    job_bytes = estimate_bytes(spec)
    if not fits_job_budget(job_bytes, state.job_bytes, state.policy.job_bytes_limit):
        answer_waiter(state, waiter, build_memory_refusal(state, spec, known))
        return
    job = TrackedJob(spec, fingerprint, now_ms)
    if known is not None:
        job.copy_attempt_numbers(known)
    claim = state.claims.find(spec.submission)
    job.no_earlier_claim = (
        known.no_earlier_claim if known is not None else claim is None
    )
    job.waiters.append(waiter)
    state.jobs.pop(spec.submission, None)
    state.jobs[spec.submission] = job
    state.live_jobs[spec.submission] = job
    state.job_bytes += job.bytes
    claim_or_admit(state, job, now_ms)


def build_memory_refusal(
    state: EntryState, spec: Job, known: TrackedJob | None
) -> JobAnswer:
    """Return the answer to a job for which there is no memory.

    Only a claim would show whether an earlier submission has run at another entry.
    """
    state.counters["jobs_refused_memory"] += 1
    is_fresh = not spec.resubmission or all(task.idempotent for task in spec.tasks)
    is_not_run = is_fresh and (known is None or known.state == "not_run")
    reason = (
        f"no memory for the job: open jobs take {state.job_bytes} of "
        f"{state.policy.job_bytes_limit} bytes"
    )
    return JobAnswer(
        spec.submission,
        "not_run" if is_not_run else "unknown",
        reason,
        state.policy.retry_after_ms,
        (),
    )


def can_attach(known: TrackedJob) -> bool:
    """Return whether a repeated submission shares the known job's answer.

    A job that was not run begins again, and so does one that ended as unknown
    before this entry sent any of it.
    """
    if known.state == "not_run":
        return False
    return known.state != "unknown" or known.admitted


def attach(state: EntryState, known: TrackedJob, waiter: Waiter) -> None:
    """Answer with the known job's final answer, now or once there is one."""
    state.counters["attached"] += 1
    if known.is_final():
        answer_waiter(state, waiter, build_job_answer(known))
        return
    known.waiters.append(waiter)


def claim_or_admit(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Claim a job with non-idempotent tasks, or admit another one at once."""
    if job.needs_claim:
        ownership.claim_or_forward(state, job, now_ms)
        return
    admit(state, job, now_ms)


def admit(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Queue all tasks of a job, or refuse the whole job."""
    try:
        check_admission(state, job, now_ms)
    except Refusal as refusal:
        refuse_job(state, job, refusal.reason, refusal.retry_after_ms, now_ms)
        return
    job.advance("admit")
    job.admitted = True
    for task in job.tasks.values():
        state.queue.push(task, now_ms)
    dispatch(state, now_ms)


def check_admission(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Check whether a job can be served.

    Raises:
        Refusal: The job is refused for this reason.

    """
    check_accepting(state, job)
    check_some_target_fits(state, job)
    check_queue_space(state, job)
    check_deadline(state, job, now_ms)


def check_accepting(state: EntryState, job: TrackedJob) -> None:
    """Refuse a cancelled job, and any job while this entry cannot serve it."""
    retry_after_ms = state.policy.retry_after_ms
    if job.cancelled:
        raise Refusal("cancelled", 0)
    if state.leaving:
        raise Refusal("this entry is leaving", retry_after_ms)
    if not state.preset_policy().admits:
        raise Refusal(f"preset {state.preset.name} admits no jobs", retry_after_ms)
    if not any(view.state == "active" for view in state.agents.values()):
        raise Refusal("no target is active", retry_after_ms)


def check_some_target_fits(state: EntryState, job: TrackedJob) -> None:
    """Refuse a job with a task that fits on no known target."""
    shapes = {view.shape for view in state.agents.values()}
    sizes = {
        (task.processors, task.memory_mb, task.accelerators): task
        for task in job.spec.tasks
    }
    for task in sizes.values():
        if not any(fits(task, shape) for shape in shapes):
            raise Refusal(
                f"task {task.id} can never run: it needs {task.processors} "
                f"processors, {task.memory_mb} MB, {task.accelerators} "
                "accelerators, more than any target has",
                0,
            )


def check_queue_space(state: EntryState, job: TrackedJob) -> None:
    """Refuse a job beyond its team's share of the queue or the limits of all teams.

    The queue is shared evenly by the teams with waiting tasks, so that one
    team's burst leaves space for the others.
    """
    retry_after_ms = state.policy.retry_after_ms
    team = job.spec.team
    limit = int(state.policy.queue_limit * state.preset_policy().queue_share)
    share = limit // state.queue.count_sharing_teams(team)
    waiting = state.queue.count_waiting(team)
    if waiting + len(job.spec.tasks) > share:
        raise Refusal(f"queue is full: {waiting} of {share} tasks wait", retry_after_ms)
    if state.queue.waiting + len(job.spec.tasks) > TOTAL_QUEUE_FACTOR * limit:
        raise Refusal(
            f"queue is full: {state.queue.waiting} tasks wait", retry_after_ms
        )
    if len(state.live_jobs) > state.policy.job_limit:
        raise Refusal("too many jobs are open", retry_after_ms)


def expected_wait_ms(state: EntryState, team: str) -> float:
    """Estimate how long a new task of a team would wait in the queue.

    Teams are served in turn. Thus each other team has at most as many tasks
    served first as this team has waiting.
    """
    rate = state.completions_per_ms.value
    own_waiting = state.queue.count_waiting(team)
    if rate <= 0 or own_waiting == 0:
        return 0.0
    ahead = min(
        state.queue.waiting, own_waiting * state.queue.count_sharing_teams(team)
    )
    return ahead / rate


def check_deadline(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Refuse a job that cannot be expected to end before its deadline."""
    budget_ms = job.deadline_ms - now_ms
    wait_ms = expected_wait_ms(state, job.spec.team)
    longest_ms = max(expected_run_ms(state, task) for task in job.spec.tasks)
    needed_ms = (
        wait_ms + fastest_run_time_factor(state) * longest_ms * MIN_RUN_TIME_SHARE
    )
    if needed_ms > budget_ms:
        reason = f"deadline: about {needed_ms:.0f} ms needed, {budget_ms} ms left"
        raise Refusal(reason, min(int(wait_ms) + 1, MAX_RETRY_AFTER_MS))
