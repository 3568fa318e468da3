"""Event handlers for requests of callers."""

from __future__ import annotations

from sardineferry.decision import events
from sardineferry.decision.entry import admission
from sardineferry.decision.entry.event_dispatch import handle_event
from sardineferry.decision.entry.jobs import Waiter
from sardineferry.decision.entry.jobs import build_job_answer
from sardineferry.decision.entry.outcomes import answer_waiter
from sardineferry.decision.entry.outcomes import end_waiting_task
from sardineferry.decision.entry.state import EntryState
from sardineferry.messages.job import JobAnswer

__all__ = ["on_cancel", "on_poll", "on_submit"]


@handle_event.register
def on_submit(
    event: events.Submit, state: EntryState, sender: str, now_ms: int
) -> None:
    """Submit a caller's job."""
    admission.submit(state, event.job, Waiter(event.token), now_ms)


@handle_event.register
def on_poll(event: events.PollJob, state: EntryState, sender: str, now_ms: int) -> None:
    """Answer with the job's state now or, if asked to wait, once it is final."""
    waiter = Waiter(event.token)
    known = state.jobs.get(event.submission)
    if known is None:
        answer = JobAnswer(event.submission, "unknown", "not known here", 0, ())
        answer_waiter(state, waiter, answer)
        return
    if event.wait and not known.is_final():
        known.waiters.append(waiter)
        return
    answer_waiter(state, waiter, build_job_answer(known))


@handle_event.register
def on_cancel(
    event: events.CancelJob, state: EntryState, sender: str, now_ms: int
) -> None:
    """Cancel a job and answer once it is final.

    Waiting tasks end at once. The next tick sends the agents a ``Cancel``, on
    which they drop queued attempts and stop running idempotent ones.
    """
    known = state.jobs.get(event.submission)
    if known is None:
        answer = JobAnswer(event.submission, "unknown", "not known here", 0, ())
        answer_waiter(state, Waiter(event.token), answer)
        return
    known.cancelled = True
    known.waiters.append(Waiter(event.token))
    if known.is_final():
        known.waiters.pop()
        answer_waiter(state, Waiter(event.token), build_job_answer(known))
        return
    for task in list(known.tasks.values()):
        for agent in task.attempt_by_agent:
            state.unsent_cancels.setdefault(agent, set()).add(event.submission)
        if task.state == "waiting" and known.state == "running":
            end_waiting_task(state, task, "cancel", "cancelled", now_ms)
