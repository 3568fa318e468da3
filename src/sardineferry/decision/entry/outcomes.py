"""Ends tasks and jobs, and answers each waiting request once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import Answer
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.jobs import build_job_answer
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import TrackedJob
    from sardineferry.decision.entry.jobs import TrackedTask
    from sardineferry.decision.entry.jobs import Waiter
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages.job import JobAnswer

__all__ = [
    "answer_waiter",
    "end_job",
    "end_job_if_done",
    "end_task",
    "end_waiting_task",
    "forget_attempt",
    "refuse_job",
]


def answer_waiter(state: EntryState, waiter: Waiter, answer: JobAnswer) -> None:
    """Answer a caller here, or the peer that forwarded the job."""
    if waiter.link:
        reply = wire.Forwarded(waiter.token, answer)
        state.effects.append(Send(waiter.link, reply))
        return
    state.effects.append(Answer(waiter.token, answer))


def end_job(state: EntryState, job: TrackedJob, event: str, now_ms: int) -> None:
    """Apply the final event to a job and answer all its waiters."""
    job.advance(event)
    job.finished_at_ms = now_ms
    if state.live_jobs.pop(job.spec.submission, None) is not None:
        state.job_bytes -= job.bytes
    state.counters[f"jobs_{job.state}"] += 1
    answer = build_job_answer(job)
    for waiter in job.waiters:
        answer_waiter(state, waiter, answer)
    job.waiters.clear()
    job.release_payloads()


def refuse_job(
    state: EntryState,
    job: TrackedJob,
    reason: str,
    retry_after_ms: int,
    now_ms: int,
) -> None:
    """End a job as not run; none of its tasks was sent."""
    job.reason = reason
    job.retry_after_ms = retry_after_ms
    end_job(state, job, "refuse", now_ms)


def end_task(
    state: EntryState, task: TrackedTask, event: str, reason: str, now_ms: int
) -> None:
    """Apply the final event to a task; end its job if it was the last one."""
    task.advance(event)
    task.reason = reason
    forget_all_attempts(state, task)
    job = task.job
    job.open_tasks -= 1
    end_job_if_done(state, job, now_ms)


def end_job_if_done(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """End a running job if every task has its outcome."""
    if job.open_tasks == 0 and job.state == "running":
        end_job(state, job, final_job_event(job), now_ms)


def end_waiting_task(
    state: EntryState, task: TrackedTask, event: str, reason: str, now_ms: int
) -> None:
    """End a waiting task as unknown if it may have run, otherwise by the event.

    It may have run through an earlier attempt, or through another entry that
    took its claimed job over.
    """
    if task.job.needs_claim and may_be_taken_over(state, now_ms):
        text = f"{reason}; another entry may have taken the job over"
        end_task(state, task, "lose", text, now_ms)
        return
    if task.may_have_run:
        end_task(state, task, "lose", f"{reason}; an attempt may have run", now_ms)
        return
    end_task(state, task, event, reason, now_ms)


def may_be_taken_over(state: EntryState, now_ms: int) -> bool:
    """Return whether a peer may have taken over claims without this entry knowing.

    That is possible after a pause of this entry until the claims were read
    again, and while there is no link to a peer or a peer is silent.
    """
    if state.claim_reads_needed > 0:
        return True
    limit_ms = state.policy.peer_timeout_ms // 2
    return any(
        not peer.link or now_ms - peer.last_heard_at_ms > limit_ms
        for peer in state.peers.values()
    )


def final_job_event(job: TrackedJob) -> str:
    """Return the event that ends a job with these outcomes, and set its reason."""
    outcomes = {task.state for task in job.tasks.values()}
    if outcomes == {"answered"}:
        return "complete"
    if outcomes == {"not_run"}:
        job.reason = next(iter(job.tasks.values())).reason
        return "refuse"
    job.reason = "not every task was answered"
    return "fail"


def forget_all_attempts(state: EntryState, task: TrackedTask) -> None:
    """Stop tracking all attempts of a task."""
    for agent in list(task.attempt_by_agent):
        forget_attempt(state, task, agent)


def forget_attempt(state: EntryState, task: TrackedTask, agent: str) -> None:
    """Stop tracking the attempt of a task at an agent and free its units."""
    task.attempt_by_agent.pop(agent, None)
    spec = task.job.spec
    view = state.agents.get(agent)
    if view is not None:
        tracked = view.in_flight.pop((spec.submission, task.spec.id), None)
        if tracked is not None:
            view.own_units -= task_units(task.spec, view.shape)
    state.queue.add_running(spec.team, -1)
