"""Event handlers of the entry for evacuations, and the review of its waiting jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import entry_callers
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_placement import can_run_job
from sardineferry.decision.burst.entry_placement import place_waiting_tasks
from sardineferry.decision.burst.evacuation.relay import EvacuationsRead
from sardineferry.decision.burst.evacuation.relay import describe_adoption
from sardineferry.decision.burst.evacuation.waiting import WaitingJob
from sardineferry.decision.burst.evacuation.waiting import find_jobs_to_refuse
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.messages.burst import Evacuations

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["review_after_evacuation"]


@handle_entry_event.register(EvacuationsRead)
def on_evacuations_read(
    event: EvacuationsRead, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Adopt the list from the platform's store if it is newer."""
    adopt_evacuations(state, event.evacuations, "", now_ms)


@handle_entry_event.register(Evacuations)
def on_evacuations(
    event: Evacuations, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Adopt a newer list from an agent; correct an older one."""
    if not adopt_evacuations(state, event, sender, now_ms):
        state.effects.extend(state.evacuation.correct(sender, event))


def adopt_evacuations(
    state: BurstEntryState, offered: Evacuations, source: str, now_ms: int
) -> bool:
    """Adopt a list if it is newer, and send it to the linked agents.

    ``source`` is the link that it came over, or empty if it was read from the store.
    Waiting jobs are placed and reviewed at the end of the pass.
    """
    relay = state.evacuation
    previous = relay.adopt(offered, now_ms)
    if previous is None:
        return False
    line = describe_adoption(previous, offered, source or "store")
    if line is not None:
        state.counters["evacuations_adopted"] += 1
        state.effects.append(line)
        state.placement_due = True
        state.evacuation_review_due = True
    linked = [view.name for view in state.agents.values() if view.linked]
    state.effects.extend(relay.announce(linked, source))
    return True


def review_after_evacuation(state: BurstEntryState, now_ms: int) -> None:
    """Refuse waiting jobs that the remaining workers can't start in time.

    This is done after a list was adopted, or an order refused because of one, and once
    tasks that fit have been placed. Soon after the start, workers may still be unknown.
    """
    if not state.evacuation_review_due or state.is_discovering_workers(now_ms):
        return
    state.evacuation_review_due = False
    report_unknown_data_centres(state)
    if not state.evacuation.current.data_centres:
        return
    # Sorted by the placement before.
    queue = list(state.queue)
    rate = entry_callers.estimate_own_rate(state, now_ms)
    jobs = [describe_job(state, job) for job in queue]
    refused = find_jobs_to_refuse(jobs, rate, now_ms)
    for index, reason in refused.items():
        state.counters["jobs_refused_evacuation"] += 1
        kind = ReplyKind.NOT_RUN
        entry_callers.finish_job(state, queue[index], kind, reason, now_ms)
    if refused:
        # Their workers are no longer withheld from other jobs.
        place_waiting_tasks(state, now_ms)


def describe_job(state: BurstEntryState, job: ActiveJob) -> WaitingJob:
    """Describe a queued job for the review."""
    has_worker = any(
        view.linked
        and view.profile is not None
        and not state.evacuation.is_evacuated(view.data_centre)
        and can_run_job(view, job.job, job.route)
        and view.profile.total.covers(job.step.need)
        for view in state.agents.values()
    )
    may_be_refused = not job.may_have_run and not job.is_held
    return WaitingJob(
        job.waiting_work(), job.latest_start_ms, may_be_refused, has_worker
    )


def report_unknown_data_centres(state: BurstEntryState) -> None:
    """Log and count names that no known process has, once while they are listed."""
    known = {
        state.data_centre,
        *(entry.data_centre for entry in state.known_entries),
        *(view.data_centre for view in state.agents.values()),
    }
    unknown = set(state.evacuation.current.data_centres) - known
    for name in sorted(unknown - state.unknown_data_centres):
        state.counters["evacuations_unknown"] += 1
        fields: dict[str, object] = {
            "data_centre": name,
            "position": state.evacuation.current.position,
            "known": sorted(known - {""}),
        }
        state.effects.append(
            LogDecision("evacuation of an unknown data centre", fields)
        )
    state.unknown_data_centres = unknown
