"""Admits or refuses submissions before anything of them is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import fits
from sardineferry.decision.entry import ownership
from sardineferry.decision.entry.jobs import JobEntry
from sardineferry.decision.entry.jobs import Waiter
from sardineferry.decision.entry.jobs import fingerprint_of
from sardineferry.decision.entry.jobs import whole_answer
from sardineferry.decision.entry.outcomes import answer_waiter
from sardineferry.decision.entry.outcomes import refuse_job
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.routing import expected_ms
from sardineferry.decision.entry.routing import fastest_factor
from sardineferry.messages.job import JobAnswer

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages.job import Job

__all__ = ["admit", "submit"]


class Refusal(Exception):  # noqa: N818
    """A job is not admitted; a retry may help after ``retry_after_ms``."""

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        """Keep the reason for the caller."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


def submit(state: EntryState, job: Job, waiter: Waiter, now_ms: int) -> None:
    """Attach to a known submission or take a new one."""
    fingerprint = fingerprint_of(job)
    known = state.jobs.get(job.submission)
    if known is not None and known.fingerprint != fingerprint:
        reason = "conflict: the key was used for other tasks"
        answer_waiter(
            state, waiter, JobAnswer(job.submission, "unknown", reason, 0, ())
        )
        return
    if known is not None and attaches(known):
        attach(state, known, waiter)
        return
    entry = JobEntry(job, fingerprint, now_ms)
    if known is not None:
        entry.inherit(known)
    claim = state.claims.find(job.submission)
    entry.fresh = known.fresh if known is not None else claim is None
    entry.waiters.append(waiter)
    state.jobs.pop(job.submission, None)
    state.jobs[job.submission] = entry
    state.live_jobs[job.submission] = entry
    take(state, entry, now_ms)


def attaches(known: JobEntry) -> bool:
    """Tell whether a repeated submission gets the known job's answer.

    A job that was not run, or whose owner could not be asked, is tried anew.
    """
    if known.state == "not_run":
        return False
    return known.state != "unknown" or known.admitted


def attach(state: EntryState, known: JobEntry, waiter: Waiter) -> None:
    """Answer from a finished job, or wait for a running one."""
    state.counters["attached"] += 1
    if known.is_final():
        answer_waiter(state, waiter, whole_answer(known))
        return
    known.waiters.append(waiter)


def take(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Claim a job that needs it, else admit it."""
    if entry.needs_claim:
        ownership.begin(state, entry, now_ms)
        return
    admit(state, entry, now_ms)


def admit(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Queue the tasks of a job, or refuse it whole."""
    try:
        check(state, entry, now_ms)
    except Refusal as refusal:
        refuse_job(state, entry, refusal.reason, refusal.retry_after_ms, now_ms)
        return
    entry.advance("admit")
    entry.admitted = True
    for task in entry.tasks.values():
        state.queue.push(task, now_ms)
    dispatch(state, now_ms)


def check(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Raise the first reason to refuse a job."""
    check_open(state, entry)
    check_shapes(state, entry)
    check_room(state, entry)
    check_deadline(state, entry, now_ms)


def check_open(state: EntryState, entry: JobEntry) -> None:
    """Refuse when cancelled, while leaving, under maintenance or without targets."""
    pause_ms = state.policy.retry_after_ms
    if entry.cancelled:
        raise Refusal("cancelled", 0)
    if state.leaving:
        raise Refusal("this entry is leaving", pause_ms)
    if not state.policy_in_force().admits:
        raise Refusal(f"preset {state.preset.name} admits no jobs", pause_ms)
    if not any(member.state == "active" for member in state.members.values()):
        raise Refusal("no target is active", pause_ms)


def check_shapes(state: EntryState, entry: JobEntry) -> None:
    """Refuse a job with a task that no known target could ever run."""
    shapes = {member.shape for member in state.members.values()}
    sizes = {
        (task.processors, task.memory_mb, task.accelerators): task
        for task in entry.job.tasks
    }
    for task in sizes.values():
        if not any(fits(task, shape) for shape in shapes):
            raise Refusal(
                f"task {task.id} can never run: it needs {task.processors} "
                f"processors, {task.memory_mb} MB, {task.accelerators} "
                "accelerators, more than any target has",
                0,
            )


def check_room(state: EntryState, entry: JobEntry) -> None:
    """Refuse beyond a team's share of the queue, or of held jobs.

    The share is even among the teams that wait, so that a team's flood
    leaves room for the others.
    """
    pause_ms = state.policy.retry_after_ms
    team = entry.job.team
    limit = int(state.policy.queue_limit * state.policy_in_force().queue_share)
    share = limit // state.queue.sharers(team)
    waiting = state.queue.waiting_of(team)
    if waiting + len(entry.job.tasks) > share:
        raise Refusal(f"queue is full: {waiting} of {share} tasks wait", pause_ms)
    if state.queue.waiting + len(entry.job.tasks) > TOTAL_FACTOR * limit:
        raise Refusal(f"queue is full: {state.queue.waiting} tasks wait", pause_ms)
    if len(state.live_jobs) > state.policy.job_limit:
        raise Refusal("too many jobs are open", pause_ms)


def expected_wait_ms(state: EntryState, team: str) -> float:
    """Return how long a team's last waiting task should wait.

    Teams are served in turn, so those with less to do delay it less.
    """
    rate = state.completions_per_ms.value
    own = state.queue.waiting_of(team)
    if rate <= 0 or own == 0:
        return 0.0
    ahead = min(state.queue.waiting, own * state.queue.sharers(team))
    return ahead / rate


def check_deadline(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Refuse a job whose last task can't be expected before its deadline."""
    budget_ms = entry.deadline_ms - now_ms
    wait_ms = expected_wait_ms(state, entry.job.team)
    longest_ms = max(expected_ms(state, task) for task in entry.job.tasks)
    needed_ms = wait_ms + fastest_factor(state) * longest_ms * MARGIN
    if needed_ms > budget_ms:
        reason = f"deadline: about {needed_ms:.0f} ms needed, {budget_ms} ms left"
        raise Refusal(reason, min(int(wait_ms) + 1, MAX_RETRY_AFTER_MS))


# A flood of one team leaves its share only as others come; until then all
# teams together may exceed the limit by this factor.
TOTAL_FACTOR = 2
MAX_RETRY_AFTER_MS = 30_000
# Run times spread around their mean; half the mean is still plausible.
MARGIN = 0.5
