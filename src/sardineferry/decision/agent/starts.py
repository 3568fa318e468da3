"""Starts, revokes and finishes tasks under the start table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.agent.table import Row
from sardineferry.decision.cost import task_units
from sardineferry.decision.effects import RunTask
from sardineferry.decision.effects import Send
from sardineferry.messages.wire import Done
from sardineferry.messages.wire import Refused

if TYPE_CHECKING:
    from sardineferry.decision.agent.state import AgentState
    from sardineferry.decision.agent.table import SubmissionRows
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.job import TaskResult
    from sardineferry.messages.wire import Start

__all__ = [
    "NO_CAPACITY",
    "drop_unstarted",
    "finish",
    "receive_start",
    "refuse_queue",
    "release_refused",
    "revoke",
    "run_queue",
]


NO_CAPACITY = "no capacity"
LARGE_SHARE = 0.25


def receive_start(state: AgentState, entry: str, start: Start, now_ms: int) -> None:
    """Run, queue, refuse or answer again the task of a start message."""
    attempt = start.attempt
    row = state.table.find(attempt.submission, attempt.task)
    if row is not None and answer_again(state, entry, start, row, now_ms):
        return
    reason = refusal(state, entry, start, now_ms)
    if reason:
        refuse_start(state, entry, start, reason, now_ms)
        return
    accept(state, entry, start, now_ms)


def answer_again(
    state: AgentState, entry: str, start: Start, row: Row, now_ms: int
) -> bool:
    """Serve a repeated start from its row; tell whether that was enough."""
    if row.state == "tombstone":
        return start.attempt.number <= row.attempt.number and resend_refusal(
            state, entry, start, now_ms
        )
    reruns = start.task.idempotent and start.attempt.number > row.attempt.number
    if row.state == "finished" and row.result is not None:
        if reruns and row.result.state != "answered":
            return False
        state.counters["repeated_answers"] += 1
        state.effects.append(Send(entry, Done(start.attempt, row.result, state.load())))
        return True
    row.attempt = max(row.attempt, start.attempt, key=lambda item: item.number)
    row.reply_to = entry
    return True


def resend_refusal(state: AgentState, entry: str, start: Start, now_ms: int) -> bool:
    """Refuse an attempt that is covered by a tombstone."""
    send_refusal(state, entry, start.attempt, "revoked", False)
    return True


def refusal(state: AgentState, entry: str, start: Start, now_ms: int) -> str:
    """Return why a start must be refused, or an empty string."""
    link = state.links.get(entry)
    if link is None or link.lease_until_ms <= now_ms:
        return "lease lapsed"
    if state.leaving:
        return "leaving"
    held = state.table.submissions.get(start.attempt.submission)
    if held is not None and start.epoch < held.epoch:
        return "fenced by a later epoch"
    if state.table.is_full():
        return "start table full"
    if start.budget_ms <= 0:
        return "deadline"
    return lacks_capacity(state, start)


def lacks_capacity(state: AgentState, start: Start) -> str:
    """Return which resource the target lacks now, or an empty string."""
    task = start.task
    if state.accelerators_in_use + task.accelerators > state.shape.accelerators:
        return "no accelerator free" if task.accelerators else ""
    units = reserved_units(state, start)
    if state.load() + units <= state.units + state.policy.queue_units:
        return ""
    # A large task would never find enough free at once: it may queue first.
    if units > LARGE_SHARE * state.units and not state.queue:
        return ""
    return NO_CAPACITY


def reserved_units(state: AgentState, start: Start) -> int:
    """Return the corrected units of a task, at most the whole target's."""
    declared = task_units(start.task, state.shape)
    return min(state.units, state.usage.corrected(start.task.kind, declared))


def accept(state: AgentState, entry: str, start: Start, now_ms: int) -> None:
    """Store the row, then run the task or queue it."""
    row = Row(start.attempt, start.task, now_ms + start.budget_ms, entry)
    row.units = reserved_units(state, start)
    state.table.put(open_rows(state, start, now_ms), row)
    if state.in_use + row.units <= state.units and not state.queue:
        run(state, row, now_ms)
        return
    row.advance("queue")
    state.queue.append(row)
    state.queued_units += row.units


def open_rows(state: AgentState, start: Start, now_ms: int) -> SubmissionRows:
    """Open the submission's rows for as long as a repeat may arrive."""
    policy = state.policy
    kept_ms = policy.short_horizon_ms if start.task.idempotent else policy.horizon_ms
    expires_at_ms = now_ms + start.budget_ms + kept_ms
    held = state.table.open(start.attempt.submission, expires_at_ms)
    held.epoch = max(held.epoch, start.epoch)
    return held


def run(state: AgentState, row: Row, now_ms: int) -> None:
    """Hand a task to the target."""
    assert row.task is not None
    row.advance("run")
    row.started_at_ms = now_ms
    state.in_use += row.units
    state.accelerators_in_use += row.task.accelerators
    state.running[row.attempt.submission, row.attempt.task] = row
    state.counters["starts"] += 1
    budget_ms = row.deadline_ms - now_ms
    state.effects.append(RunTask(row.attempt, row.task, budget_ms))


def run_queue(state: AgentState, now_ms: int) -> None:
    """Run queued tasks while they fit; refuse those past their deadline."""
    while state.queue:
        row = state.queue[0]
        late = row.deadline_ms <= now_ms
        if not late and state.in_use + row.units > state.units:
            return
        state.queue.popleft()
        state.queued_units -= row.units
        if late:
            row.advance("refuse")
            send_refusal(state, row.reply_to, row.attempt, "deadline", False)
            continue
        run(state, row, now_ms)


def release(state: AgentState, row: Row) -> None:
    """Free what a running row takes."""
    assert row.task is not None
    state.in_use -= row.units
    state.accelerators_in_use -= row.task.accelerators
    state.running.pop((row.attempt.submission, row.attempt.task), None)
    state.usage.forget(row.attempt)


def finish(
    state: AgentState, attempt: Attempt, result: TaskResult, now_ms: int
) -> None:
    """Record the result of a running task and answer its entry."""
    row = state.running.get((attempt.submission, attempt.task))
    if row is None:
        return
    release(state, row)
    row.advance("finish")
    row.result = result
    row.task = None
    run_queue(state, now_ms)
    if row.reply_to in state.links:
        state.effects.append(
            Send(row.reply_to, Done(row.attempt, result, state.load()))
        )


def release_refused(
    state: AgentState, attempt: Attempt, reason: str, now_ms: int
) -> None:
    """Record that the target did not start a task, and tell the entry."""
    row = state.running.get((attempt.submission, attempt.task))
    if row is None:
        return
    release(state, row)
    row.advance("deny")
    row.task = None
    run_queue(state, now_ms)
    send_refusal(state, row.reply_to, row.attempt, reason, True)


def refuse_start(
    state: AgentState, entry: str, start: Start, reason: str, now_ms: int
) -> None:
    """Leave a tombstone for the attempt and tell the entry."""
    if not state.table.is_full():
        row = Row(start.attempt, None, now_ms, entry)
        row.advance("refuse")
        held = open_rows(state, start._replace(epoch=0), now_ms)
        state.table.put(held, row)
    send_refusal(state, entry, start.attempt, reason, False)


def send_refusal(
    state: AgentState,
    entry: str,
    attempt: Attempt,
    reason: str,
    fault: bool,
) -> None:
    """Tell an entry that an attempt will never start."""
    state.counters["refusals"] += 1
    if entry in state.links:
        state.effects.append(Send(entry, Refused(attempt, reason, state.load(), fault)))


def revoke(state: AgentState, entry: str, attempt: Attempt, now_ms: int) -> None:
    """Prevent an attempt that has not started; a running one goes on."""
    row = state.table.find(attempt.submission, attempt.task)
    if row is not None and row.state in ("running", "finished"):
        return
    if row is not None and row.state == "queued":
        remove_queued(state, row)
        send_refusal(state, entry, attempt, "revoked", False)
        return
    if row is None or row.attempt.number < attempt.number:
        row = Row(attempt, None, now_ms, entry)
        row.advance("refuse")
        expires_at_ms = now_ms + state.policy.horizon_ms
        state.table.put(state.table.open(attempt.submission, expires_at_ms), row)
    send_refusal(state, entry, attempt, "revoked", False)


def remove_queued(state: AgentState, row: Row) -> None:
    """Take a row out of the queue and leave its tombstone."""
    state.queue.remove(row)
    state.queued_units -= row.units
    row.advance("refuse")


def refuse_queue(state: AgentState, reason: str) -> None:
    """Refuse everything that is queued."""
    for row in list(state.queue):
        remove_queued(state, row)
        send_refusal(state, row.reply_to, row.attempt, reason, False)


def drop_unstarted(state: AgentState, submission: str) -> None:
    """Refuse the queued tasks of a submission."""
    for row in list(state.queue):
        if row.attempt.submission == submission:
            remove_queued(state, row)
            send_refusal(state, row.reply_to, row.attempt, "cancelled", False)
