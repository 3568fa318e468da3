"""Continues a submission of a lost owner from the agents' start tables.

Only agents on the rosters of its claims can have started its tasks. If all of
them have reported, a task that none of them lists was not started.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.jobs import ReportedRow
from sardineferry.decision.entry.outcomes import end_job_if_done
from sardineferry.decision.entry.outcomes import end_task
from sardineferry.decision.entry.outcomes import forget_attempt
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.claims import Claim
    from sardineferry.decision.entry.jobs import TrackedJob
    from sardineferry.decision.entry.jobs import TrackedTask
    from sardineferry.decision.entry.state import AgentView
    from sardineferry.decision.entry.state import EntryState

__all__ = [
    "all_agents_reported",
    "ask_agents",
    "finish_recovery",
    "hand_over_task",
    "record_report",
]


def ask_agents(state: EntryState, job: TrackedJob, claim: Claim, now_ms: int) -> None:
    """Ask every agent on the rosters which tasks of the job it started.

    An agent that was asked refuses starts with an earlier epoch from then on.
    """
    job.inquired_agents = claim.roster
    job.reported_agents = set()
    job.reported_rows = {}
    left_ms = job.deadline_ms - now_ms
    job.recovery_deadline_ms = now_ms + min(state.policy.recovery_timeout_ms, left_ms)
    for view in state.agents.values():
        ask_agent(state, job, view)


def ask_agent(state: EntryState, job: TrackedJob, view: AgentView) -> None:
    """Send an agent the inquiry if it is on the rosters and linked."""
    if view.linked and view.identity() in job.inquired_agents:
        message = wire.Inquire(job.spec.submission, job.epoch)
        state.effects.append(Send(view.name, message))


def record_report(job: TrackedJob, view: AgentView, report: wire.Report) -> None:
    """Keep the rows that an agent reported."""
    job.reported_agents.add(view.identity())
    for row in report.tasks:
        job.reported_rows.setdefault(row.task, []).append(ReportedRow(view.name, row))


def all_agents_reported(job: TrackedJob) -> bool:
    """Return whether every agent on the rosters has reported."""
    return job.inquired_agents <= job.reported_agents


def finish_recovery(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Decide on each open task by the reports; the job is running from then on."""
    all_reported = all_agents_reported(job)
    job.advance("admit")
    job.admitted = True
    job.recovery_deadline_ms = 0
    state.counters["recoveries"] += 1
    for task in list(job.tasks.values()):
        if not task.is_final():
            recover_task(state, task, all_reported, now_ms)
    end_job_if_done(state, job, now_ms)


def recover_task(
    state: EntryState, task: TrackedTask, all_reported: bool, now_ms: int
) -> None:
    """Decide on one task of a recovered job by the rows of the start tables.

    A non-idempotent task is started only if no agent can have started it, which
    takes reports of all agents.
    """
    rows = task.job.reported_rows.get(task.spec.id, [])
    task.attempt_number = max([task.attempt_number, *(row.number for _, row in rows)])
    finished = [row for _, row in rows if row.result is not None]
    answered = [
        row.result for row in finished if row.result and row.result.state == "answered"
    ]
    if answered:
        task.answer = answered[0].answer
        end_task(state, task, "answer", "", now_ms)
        return
    running = [found for found in rows if found.row.result is None]
    if running:
        adopt_running(state, task, running)
        return
    if task.spec.idempotent:
        queue_or_cancel(state, task, now_ms)
        return
    if finished:
        result = finished[0].result
        assert result is not None
        task.advance("send")
        event = "fail" if result.state == "failed" else "lose"
        end_task(state, task, event, result.reason, now_ms)
        return
    if all_reported:
        queue_or_cancel(state, task, now_ms)
        return
    reason = "the owner was lost and not every agent could be asked"
    end_task(state, task, "lose", reason, now_ms)


def queue_or_cancel(state: EntryState, task: TrackedTask, now_ms: int) -> None:
    """Queue a task, or end it if its job was cancelled."""
    if task.job.cancelled:
        end_task(state, task, "cancel", "cancelled", now_ms)
        return
    state.queue.push(task, now_ms)


def adopt_running(
    state: EntryState, task: TrackedTask, running: list[ReportedRow]
) -> None:
    """Track attempts that the former owner started as attempts of this entry."""
    task.advance("send")
    task.may_have_run = True
    for agent, row in running:
        view = state.agents.get(agent)
        if view is None:
            continue
        task.attempt_by_agent[agent] = row.number
        key = (task.job.spec.submission, task.spec.id)
        view.in_flight[key] = task
        view.own_units += task_units(task.spec, view.shape)
        state.queue.add_running(task.job.spec.team, 1)


def hand_over_task(state: EntryState, task: TrackedTask) -> None:
    """Stop tracking a task's attempts, as another entry owns its job now.

    A sent task is marked as possibly run and waits again.
    """
    for agent in list(task.attempt_by_agent):
        forget_attempt(state, task, agent)
    if task.state in ("sent", "uncertain"):
        task.may_have_run = True
        task.advance("retry")
