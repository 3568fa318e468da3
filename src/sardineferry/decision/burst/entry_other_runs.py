"""Event handlers of the entry for runs of its jobs that other entries have ordered.

Load pattern: copies of a request at an entry that never had the job, or no longer knows
it. The copy is held until these runs have ended. Tasks that ended as done are not
run again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_callers import finish_job_if_done
from sardineferry.decision.burst.entry_callers import hold_job
from sardineferry.decision.burst.entry_callers import stop_job_runs
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.other_runs import RunSource
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import OtherRuns
from sardineferry.messages.burst import parse_task

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import AgentView
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.messages.burst import RunEnded
    from sardineferry.messages.burst import RunRef

__all__ = [
    "add_other_runs",
    "add_unknown_runs",
    "end_unknown_run",
    "forget_earlier_reports",
    "forget_lost_runs",
    "mark_done",
    "release_due_jobs",
    "release_jobs",
]

# An entry that releases a job is heard of in a few milliseconds. This is more than the
# interval between ticks, so that entries release a job in different ticks.
RELEASE_INTERVAL_MS = 50
# Bounds the wait where there are many entries.
MAX_RELEASE_RANK = 4


@handle_entry_event.register(OtherRuns)
def on_other_runs(
    event: OtherRuns, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Hold the jobs that run for other entries, until these runs have ended."""
    view = state.record_contact(sender, now_ms)
    if view is None:
        return
    source = RunSource(view.name, view.incarnation)
    is_urgent = (
        event.is_complete
        or event.is_urgent
        or any(state.may_be_copy(item.job_id, now_ms) for item in event.running)
    )
    named_before = state.other_runs.forget_source(source) if event.is_complete else []
    for item in event.running:
        add_other_runs(state, source, item, now_ms)
    for item in (*event.done, *event.lost):
        state.other_runs.remove(source, item.job_id, item.tasks)
    for item in event.done:
        state.other_runs.add_done(item.job_id, item.tasks, now_ms)
        mark_done(state, item, now_ms)
    for item in event.lost:
        state.other_runs.add_lost(item.job_id, now_ms)
    ended = [item.job_id for item in (*event.done, *event.lost)]
    release_jobs(state, [*named_before, *ended], now_ms)
    if state.is_remote(view):
        state.run_relay.note_done(event.done, now_ms)
        state.run_relay.note_lost((item.job_id for item in event.lost), now_ms)
        if event.running or event.is_complete:
            state.run_relay.note_change(now_ms, is_urgent=is_urgent)


def add_other_runs(
    state: BurstEntryState, source: RunSource, item: JobTasks, now_ms: int
) -> None:
    """Record runs of another entry, and hold their job if it is active here."""
    state.other_runs.add(source, item)
    job = state.jobs.get(item.job_id)
    if job is not None:
        hold_or_yield_job(state, job, item.entry, now_ms)


def hold_or_yield_job(
    state: BurstEntryState, job: ActiveJob, entry: str, now_ms: int
) -> None:
    """Hold a job that another entry runs; stop its own runs if that one goes first.

    Both have started the job before they heard of each other. The entry with the lower
    name goes on.
    """
    hold_job(state, job, entry, now_ms)
    has_runs = any(task.status == "placed" for task in job.tasks)
    if entry < state.name and has_runs and not job.has_yielded:
        job.has_yielded = True
        fields: dict[str, object] = {
            "job": job.job.job_id,
            "entry": entry,
            "active_ms": now_ms - job.arrived_ms,
        }
        state.effects.append(LogDecision("runs yield to another entry", fields))
        stop_job_runs(state, job)


def mark_done(state: BurstEntryState, item: JobTasks, now_ms: int) -> None:
    """Mark waiting tasks as done that another entry has run, and finish their job."""
    job = state.jobs.get(item.job_id)
    if job is not None:
        job.mark_done(item.tasks)
        finish_job_if_done(state, job, now_ms)


def release_jobs(state: BurstEntryState, job_ids: list[str], now_ms: int) -> None:
    """Let held jobs be placed that run for no other entry any more.

    Several entries may hold copies of a job and learn of the end at the same moment, so
    they release it one after the other, in the order of their names.
    """
    for job_id in job_ids:
        job = state.jobs.get(job_id)
        if job is not None and job.is_held and job_id not in state.other_runs:
            job.release_due_ms = now_ms + release_delay_ms(state)
    release_due_jobs(state, now_ms)


def release_delay_ms(state: BurstEntryState) -> int:
    """Return how long this entry waits for those whose names come before its own."""
    names = {entry.name for entry in state.known_entries if entry.name}
    rank = sum(name < state.name for name in names)
    return min(rank, MAX_RELEASE_RANK) * RELEASE_INTERVAL_MS


def release_due_jobs(state: BurstEntryState, now_ms: int) -> None:
    """Release the jobs for which it is time.

    Each then has as much time to start as when it arrived.
    """
    for job in state.queue:
        if job.release_due_ms is None or now_ms < job.release_due_ms:
            continue
        job_id = job.job.job_id
        job.release_due_ms = None
        if job_id in state.other_runs:
            continue
        job.is_held = job.has_yielded = False
        slack_ms = job.latest_start_ms - job.arrived_ms
        job.latest_start_ms = max(job.latest_start_ms, now_ms + slack_ms)
        state.placement_due = True
        fields: dict[str, object] = {
            "job": job_id,
            "held_ms": now_ms - job.arrived_ms,
            "waiting": job.counts.waiting,
        }
        state.effects.append(LogDecision("job released", fields))


def add_unknown_runs(
    state: BurstEntryState, view: AgentView, refs: Iterable[RunRef], now_ms: int
) -> None:
    """Hold the jobs of runs that an earlier process of this entry has ordered.

    Their agent is stopping them.
    """
    source = RunSource(view.name, view.incarnation)
    for ref in refs:
        job_id, index = parse_task(ref.task)
        add_other_runs(state, source, JobTasks(job_id, state.name, (index,)), now_ms)
    state.run_relay.note_change(now_ms, is_urgent=True)


def end_unknown_run(
    state: BurstEntryState, view: AgentView, ended: RunEnded, now_ms: int
) -> None:
    """Record the end of a run that this process has not ordered."""
    job_id, index = parse_task(ended.run.task)
    if job_id not in state.other_runs:
        return
    source = RunSource(view.name, view.incarnation)
    state.other_runs.remove(source, job_id, (index,))
    if ended.how == ENDED_DONE:
        mark_done(state, JobTasks(job_id, state.name, (index,)), now_ms)
    release_jobs(state, [job_id], now_ms)
    state.run_relay.note_change(now_ms, is_urgent=True)


def forget_lost_runs(
    state: BurstEntryState, view: AgentView, silent_ms: int, now_ms: int
) -> None:
    """Forget what an agent reported that has been silent for too long."""
    if silent_ms <= timing.OTHER_RUNS_KEPT_MS:
        return
    for source in state.other_runs.incarnations(view.name):
        release_jobs(state, state.other_runs.forget_source(source), now_ms)
        state.run_relay.note_change(now_ms, is_urgent=True)


def forget_earlier_reports(
    state: BurstEntryState, view: AgentView, now_ms: int
) -> None:
    """Forget what earlier processes of an agent reported: their runs have ended."""
    view.earlier_reports_expire_ms = None
    for source in state.other_runs.incarnations(view.name):
        if source.incarnation != view.incarnation:
            release_jobs(state, state.other_runs.forget_source(source), now_ms)
            state.run_relay.note_change(now_ms, is_urgent=True)
