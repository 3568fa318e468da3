"""Tells entries of the runs that other entries have ordered at the agent's worker.

Load pattern: copies of a request that arrive at entries that don't have the job, or no
longer know it. Such an entry must not start the job beside runs that go on. The agents
are the only processes that know for certain what runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import ENDED_REFUSED
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import OtherRuns
from sardineferry.messages.burst import parse_task

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.decision.burst.agent_state import EntryView
    from sardineferry.decision.burst.agent_state import Run

__all__ = [
    "add_to_report",
    "find_lasting_runs",
    "record_end",
    "record_start",
    "report_all_runs",
    "report_changes",
]

# Runs that were done within this time are reported again on a new link, as the report
# may have been lost with the link before. An agent dials again sooner.
DONE_RESEND_WINDOW_MS = 2_000


def record_start(state: BurstAgentState, run: Run, is_repeat: bool) -> None:
    """Let a run that should last, or of a repeated job, be reported with this pass."""
    if is_repeat or run.estimate_ms >= timing.LASTING_RUN_MS:
        add_to_report(state, run)
    if is_repeat:
        state.is_report_urgent = True


def add_to_report(state: BurstAgentState, run: Run) -> None:
    """Let a run be reported at the end of the pass, unless it was reported before."""
    if not run.is_reported:
        run.is_reported = True
        state.unreported_runs.append(run)


def record_end(state: BurstAgentState, run: Run, how: str, now_ms: int) -> None:
    """Let the end of a run be reported: of a short one later, if it was started.

    Copies of its request are then answered without another run, or known to be copies.
    """
    if how == ENDED_DONE:
        state.recent_done.append((now_ms, run))
    if run.is_reported:
        state.unreported_ends.append((run, how))
    elif how != ENDED_REFUSED:
        state.unreported_short_runs.append((run, how))
        if state.short_runs_due_ms is None:
            state.short_runs_due_ms = now_ms + timing.SHORT_RUN_REPORT_DELAY_MS


def find_lasting_runs(state: BurstAgentState, now_ms: int) -> None:
    """Let runs that have lasted longer than they should be reported."""
    for run in state.runs.values():
        if now_ms - run.ordered_ms >= timing.LASTING_RUN_MS:
            add_to_report(state, run)


def report_changes(state: BurstAgentState, now_ms: int) -> None:
    """Report lasting runs and their ends at once, with the ends of short runs."""
    is_due = state.short_runs_due_ms is not None and now_ms >= state.short_runs_due_ms
    if not state.unreported_runs and not state.unreported_ends and not is_due:
        return
    running, state.unreported_runs = state.unreported_runs, []
    ends, state.unreported_ends = state.unreported_ends, []
    short, state.unreported_short_runs = state.unreported_short_runs, []
    is_urgent, state.is_report_urgent = state.is_report_urgent, False
    state.short_runs_due_ms = None
    ends += short
    done = group_by_job(run for run, how in ends if how == ENDED_DONE)
    lost = group_by_job(run for run, how in ends if how != ENDED_DONE)
    report = OtherRuns(group_by_job(running), done, lost, is_urgent=is_urgent)
    send_to_other_entries(state, report)


def report_all_runs(state: BurstAgentState, view: EntryView, now_ms: int) -> None:
    """Report on a new link the runs that are reported on others or were done lately."""
    running = group_by_job(run for run in state.runs.values() if run.is_reported)
    done = group_by_job(
        run
        for done_ms, run in state.recent_done
        if now_ms - done_ms <= DONE_RESEND_WINDOW_MS
    )
    message = OtherRuns(
        of_other_entries(running, view),
        of_other_entries(done, view),
        is_complete=True,
    )
    state.effects.append(Send(view.link, message))


def send_to_other_entries(state: BurstAgentState, report: OtherRuns) -> None:
    """Send each linked entry what is not about its own runs."""
    for view in state.entry_views.values():
        if not view.linked:
            continue
        message = OtherRuns(
            of_other_entries(report.running, view),
            of_other_entries(report.done, view),
            of_other_entries(report.lost, view),
        )
        if any(message):
            message = message._replace(is_urgent=report.is_urgent)
            state.effects.append(Send(view.link, message))


def of_other_entries(
    jobs: tuple[JobTasks, ...], view: EntryView
) -> tuple[JobTasks, ...]:
    """Return the items that another entry than this one ordered."""
    return tuple(item for item in jobs if item.entry != view.name)


def group_by_job(runs: Iterable[Run]) -> tuple[JobTasks, ...]:
    """Return the tasks of runs, by job and entry."""
    tasks: dict[tuple[str, str], list[int]] = {}
    for run in runs:
        job_id, index = parse_task(run.ref.task)
        tasks.setdefault((job_id, run.entry_name), []).append(index)
    return tuple(JobTasks(*key, tuple(indexes)) for key, indexes in tasks.items())
