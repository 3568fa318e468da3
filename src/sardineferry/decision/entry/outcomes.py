"""Ends tasks and jobs, and answers who waits, once each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import Answer
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.jobs import whole_answer
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import JobEntry
    from sardineferry.decision.entry.jobs import TaskEntry
    from sardineferry.decision.entry.jobs import Waiter
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages.job import JobAnswer

__all__ = [
    "answer_waiter",
    "end_if_done",
    "end_job",
    "end_task",
    "give_up",
    "refuse_job",
    "unplace",
]


def answer_waiter(state: EntryState, waiter: Waiter, answer: JobAnswer) -> None:
    """Send an answer to a caller here or to the peer that forwarded."""
    if waiter.link:
        reply = wire.Forwarded(waiter.token, answer)
        state.effects.append(Send(waiter.link, reply))
        return
    state.effects.append(Answer(waiter.token, answer))


def end_job(state: EntryState, entry: JobEntry, event: str, now_ms: int) -> None:
    """Make the job's state final and answer everyone who waits."""
    entry.advance(event)
    entry.finished_at_ms = now_ms
    state.live_jobs.pop(entry.job.submission, None)
    state.counters[f"jobs_{entry.state}"] += 1
    answer = whole_answer(entry)
    for waiter in entry.waiters:
        answer_waiter(state, waiter, answer)
    entry.waiters.clear()


def refuse_job(
    state: EntryState,
    entry: JobEntry,
    reason: str,
    retry_after_ms: int,
    now_ms: int,
) -> None:
    """End a job of which nothing was sent."""
    entry.reason = reason
    entry.retry_after_ms = retry_after_ms
    end_job(state, entry, "refuse", now_ms)


def end_task(
    state: EntryState, task: TaskEntry, event: str, reason: str, now_ms: int
) -> None:
    """Make a task's outcome final; end its job after the last one."""
    task.advance(event)
    task.reason = reason
    release_all(state, task)
    entry = task.job
    entry.open_tasks -= 1
    end_if_done(state, entry, now_ms)


def end_if_done(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """End a job of which every task has its outcome."""
    if entry.open_tasks == 0 and entry.state == "running":
        end_job(state, entry, summarise(entry), now_ms)


def give_up(
    state: EntryState, task: TaskEntry, event: str, reason: str, now_ms: int
) -> None:
    """End a waiting task: unknown if an attempt may have run, else not run.

    Another entry may have taken over a claimed job and started the task.
    """
    if task.job.needs_claim and in_doubt(state, now_ms):
        text = f"{reason}; another entry may have taken the job over"
        end_task(state, task, "lose", text, now_ms)
        return
    if task.started:
        end_task(state, task, "lose", f"{reason}; an attempt may have run", now_ms)
        return
    end_task(state, task, event, reason, now_ms)


def in_doubt(state: EntryState, now_ms: int) -> bool:
    """Tell whether a peer may have missed this entry long enough to take over.

    That is after a pause until the claims were read again, and while a peer
    is out of reach.
    """
    if state.doubtful_reads > 0:
        return True
    limit_ms = state.policy.peer_timeout_ms // 2
    return any(
        not peer.link or now_ms - peer.last_heard_ms > limit_ms
        for peer in state.peers.values()
    )


def summarise(entry: JobEntry) -> str:
    """Return the job event that its tasks' outcomes amount to."""
    outcomes = {task.state for task in entry.tasks.values()}
    if outcomes == {"answered"}:
        return "complete"
    if outcomes == {"not_run"}:
        entry.reason = next(iter(entry.tasks.values())).reason
        return "refuse"
    entry.reason = "not every task was answered"
    return "fail"


def release_all(state: EntryState, task: TaskEntry) -> None:
    """Forget where the attempts of a task are in flight."""
    for agent in list(task.placed):
        unplace(state, task, agent)


def unplace(state: EntryState, task: TaskEntry, agent: str) -> None:
    """Forget that an attempt of the task is in flight at an agent."""
    task.placed.pop(agent, None)
    job = task.job.job
    member = state.members.get(agent)
    if member is not None:
        held = member.in_flight.pop((job.submission, task.task.id), None)
        if held is not None:
            member.own -= task_units(task.task, member.shape)
    state.queue.note_running(job.team, -1)
