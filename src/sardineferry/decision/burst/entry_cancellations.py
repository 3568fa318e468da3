"""Event handlers of the entry for cancellations, here and at other entries.

Load pattern: many jobs are cancelled, and copies of their requests arrive later, or the
cancellation reaches another entry than the request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst.entry_callers import find_job
from sardineferry.decision.burst.entry_callers import finish_job
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_state import UNKNOWN_JOB
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import JobCancelled

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["apply_cancellation", "recent_cancellations"]

# The agents that pass a cancellation on: two, in case one is lost.
CANCELLATION_RELAYS = 2
# As long as an agent names cancelled jobs to entries that link.
CANCELLATIONS_RESEND_WINDOW_MS = 10_000


@handle_entry_event.register(CancelJob)
def on_cancel_job(
    event: CancelJob, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Cancel a job; answer its submitters and the caller that cancels.

    A job that another entry runs is cancelled there, and so is one that is not known
    here, as it may wait at another entry, or has ended, as a copy may come there.
    """
    found = find_job(state, event.host, event.path)
    job_id = event.path.rpartition("/")[2]
    kind = ReplyKind.CANCELLED
    if found is ReplyKind.NO_JOB:
        if job_id not in state.other_runs:
            kind = found
        remember_cancellation(state, job_id, now_ms)
        notify_cancellation(state, job_id, now_ms)
    elif isinstance(found, ReplyKind):
        kind = found
    else:
        finish_job(state, found, kind, "cancelled", now_ms)
        notify_cancellation(state, job_id, now_ms)
    state.effects.append(BurstReply(event.token, kind))


def notify_cancellation(state: BurstEntryState, job_id: str, now_ms: int) -> None:
    """Tell other entries over agents that a job is cancelled, as copies may come there.

    Agents of the own data centre are preferred: they are linked to all its entries.
    Agents that link later are told as well: links that count as open may be lost.
    """
    state.cancellations.append((now_ms, job_id))
    linked = sorted(
        (view for view in state.agents.values() if view.linked),
        key=state.is_remote,
    )
    relays = linked[:CANCELLATION_RELAYS]
    state.effects.extend(Send(view.name, JobCancelled(job_id)) for view in relays)


def recent_cancellations(state: BurstEntryState, now_ms: int) -> list[JobCancelled]:
    """Return the jobs that were cancelled here lately, for an agent that has linked."""
    return [
        JobCancelled(job_id)
        for cancelled_ms, job_id in state.cancellations
        if now_ms - cancelled_ms <= CANCELLATIONS_RESEND_WINDOW_MS
    ]


@handle_entry_event.register(JobCancelled)
def on_job_cancelled(
    event: JobCancelled, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Cancel a job here, and let the other entries of this data centre hear of it.

    An agent of this data centre has told them itself.
    """
    view = state.record_contact(sender, now_ms)
    is_news = apply_cancellation(state, event.job_id, now_ms)
    if is_news and view is not None and state.is_remote(view):
        state.run_relay.note_cancelled(event.job_id, now_ms)


def apply_cancellation(state: BurstEntryState, job_id: str, now_ms: int) -> bool:
    """Cancel a job that was cancelled at another entry; return whether it is news."""
    job = state.jobs.get(job_id)
    if job is None:
        return remember_cancellation(state, job_id, now_ms)
    reason = "cancelled at another entry"
    finish_job(state, job, ReplyKind.CANCELLED, reason, now_ms)
    return True


def remember_cancellation(state: BurstEntryState, job_id: str, now_ms: int) -> bool:
    """Remember that a job was cancelled, unless it has ended; return whether so."""
    ended = state.ended_jobs.get(job_id, UNKNOWN_JOB)
    if ended.outcome is not None:
        return False
    ended = ended._replace(outcome=ReplyKind.CANCELLED, ended_ms=now_ms)
    state.remember_job(job_id, ended)
    return True
