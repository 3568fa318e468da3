"""Event handler of the entry for orders that could not be sent.

An order that can't be encoded never leaves the process, and neither would a repetition.
Its runs end as refused, and its job is given up, so that its callers get an answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst.entry_agents import apply_run_end
from sardineferry.decision.burst.entry_callers import finish_job
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_state import EndSource
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.common_events import SendRejected
from sardineferry.messages.burst import ENDED_REFUSED
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import StartRuns

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["on_send_rejected"]

REASON = "order can't be encoded"


@handle_entry_event.register(SendRejected)
def on_send_rejected(
    event: SendRejected, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """End the runs of an order that was not sent, and give up its job.

    Other messages need no recovery: later ones of their kind replace them.
    """
    order, view = event.message, state.agents.get(event.link)
    if not isinstance(order, StartRuns) or view is None:
        return
    state.counters["orders_rejected"] += 1
    view.cancel_reservation(order.order)
    jobs = []
    for ref in order.runs:
        placed = view.runs.pop(ref, None)
        if placed is not None:
            jobs.append(placed.job)
            ended = RunEnded(ref, ENDED_REFUSED, 0, REASON)
            apply_run_end(state, view, placed, ended, EndSource.NOT_SENT, now_ms)
    # Only once all its runs have ended it is known whether the job may have run.
    for job in jobs:
        if state.is_active(job):
            finish_job(state, job, ReplyKind.NOT_RUN, REASON, now_ms)
