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
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import OtherRuns
from sardineferry.messages.burst import parse_task

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.decision.burst.agent_state import EntryView
    from sardineferry.decision.burst.agent_state import Run

__all__ = ["find_lasting_runs", "record_start", "report_all_runs", "report_changes"]


def record_start(state: BurstAgentState, run: Run) -> None:
    """Let a run that should last be reported at the end of the pass."""
    if run.estimate_ms >= timing.LASTING_RUN_MS:
        run.is_reported = True
        state.unreported_runs.append(run)


def find_lasting_runs(state: BurstAgentState, now_ms: int) -> None:
    """Let runs that have lasted longer than they should be reported."""
    for run in state.runs.values():
        if not run.is_reported and now_ms - run.ordered_ms >= timing.LASTING_RUN_MS:
            run.is_reported = True
            state.unreported_runs.append(run)


def report_changes(state: BurstAgentState) -> None:
    """Report runs that have begun to last, and the ends of such runs."""
    if not state.unreported_runs and not state.unreported_ends:
        return
    running, state.unreported_runs = state.unreported_runs, []
    ends, state.unreported_ends = state.unreported_ends, []
    done = group_by_job(run for run, how in ends if how == ENDED_DONE)
    lost = group_by_job(run for run, how in ends if how != ENDED_DONE)
    send_to_other_entries(state, OtherRuns(group_by_job(running), done, lost))


def report_all_runs(state: BurstAgentState, view: EntryView) -> None:
    """Report on a new link all runs that are or will be reported on the others."""
    reported = group_by_job(run for run in state.runs.values() if run.is_reported)
    message = OtherRuns(of_other_entries(reported, view), is_complete=True)
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
