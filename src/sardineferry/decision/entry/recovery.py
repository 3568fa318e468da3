"""Completes a submission of a lost owner from the agents' start tables.

Only agents on the rosters of its claims can have started tasks. A task that
none of them reports was provably not started, if all of them were asked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.jobs import FoundRow
from sardineferry.decision.entry.outcomes import end_if_done
from sardineferry.decision.entry.outcomes import end_task
from sardineferry.decision.entry.outcomes import unplace
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.claims import Claim
    from sardineferry.decision.entry.jobs import JobEntry
    from sardineferry.decision.entry.jobs import TaskEntry
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.decision.entry.state import Member

__all__ = ["conclude", "inquire", "is_complete", "note_report", "withdraw"]


def inquire(state: EntryState, entry: JobEntry, claim: Claim, now_ms: int) -> None:
    """Ask every agent on the rosters, fencing earlier epochs."""
    entry.asked = claim.roster
    entry.reported = set()
    entry.found = {}
    left_ms = entry.deadline_ms - now_ms
    entry.recovery_until_ms = now_ms + min(state.policy.recovery_ms, left_ms)
    for member in state.members.values():
        ask(state, entry, member)


def ask(state: EntryState, entry: JobEntry, member: Member) -> None:
    """Ask one agent, if it is on the rosters and linked."""
    if member.linked and member.identity() in entry.asked:
        message = wire.Inquire(entry.job.submission, entry.epoch)
        state.effects.append(Send(member.name, message))


def note_report(entry: JobEntry, member: Member, report: wire.Report) -> None:
    """Keep an agent's rows until all have answered."""
    entry.reported.add(member.identity())
    for row in report.tasks:
        entry.found.setdefault(row.task, []).append(FoundRow(member.name, row))


def is_complete(entry: JobEntry) -> bool:
    """Tell whether every agent on the rosters has answered."""
    return entry.asked <= entry.reported


def conclude(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Adopt what the agents reported; queue or give up the other tasks."""
    proven = is_complete(entry)
    entry.advance("admit")
    entry.admitted = True
    entry.recovery_until_ms = 0
    state.counters["recoveries"] += 1
    for task in list(entry.tasks.values()):
        if not task.is_final():
            settle(state, task, proven, now_ms)
    end_if_done(state, entry, now_ms)


def settle(state: EntryState, task: TaskEntry, proven: bool, now_ms: int) -> None:
    """Decide one task of a recovered job."""
    rows = task.job.found.get(task.task.id, [])
    task.number = max([task.number, *(row.number for _, row in rows)])
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
        adopt(state, task, running)
        return
    if task.task.idempotent:
        start_or_cancel(state, task, now_ms)
        return
    if finished:
        result = finished[0].result
        assert result is not None
        task.advance("send")
        event = "fail" if result.state == "failed" else "lose"
        end_task(state, task, event, result.reason, now_ms)
        return
    if proven:
        start_or_cancel(state, task, now_ms)
        return
    reason = "the owner was lost and not every agent could be asked"
    end_task(state, task, "lose", reason, now_ms)


def start_or_cancel(state: EntryState, task: TaskEntry, now_ms: int) -> None:
    """Queue a task that is to be started, unless its job was cancelled."""
    if task.job.cancelled:
        end_task(state, task, "cancel", "cancelled", now_ms)
        return
    state.queue.push(task, now_ms)


def adopt(state: EntryState, task: TaskEntry, running: list[FoundRow]) -> None:
    """Wait for attempts that the former owner started."""
    task.advance("send")
    task.started = True
    for agent, row in running:
        member = state.members.get(agent)
        if member is None:
            continue
        task.placed[agent] = row.number
        key = (task.job.job.submission, task.task.id)
        member.in_flight[key] = task
        member.own += task_units(task.task, member.shape)
        state.queue.note_running(task.job.job.team, 1)


def withdraw(state: EntryState, task: TaskEntry) -> None:
    """Forget the attempts of a task that another entry now owns."""
    for agent in list(task.placed):
        unplace(state, task, agent)
    if task.state in ("sent", "uncertain"):
        task.started = True
        task.advance("retry")
