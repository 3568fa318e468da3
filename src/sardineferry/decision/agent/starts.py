"""Starts, revokes and finishes tasks, recording each in the start table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.agent.table import Row
from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import RunTask
from sardineferry.decision.effects import Send
from sardineferry.messages.wire import Done
from sardineferry.messages.wire import Refused

if TYPE_CHECKING:
    from sardineferry.decision.agent.state import AgentState
    from sardineferry.decision.agent.table import SubmissionRecord
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.job import TaskResult
    from sardineferry.messages.wire import Start

__all__ = [
    "NO_CAPACITY",
    "finish_task",
    "receive_start",
    "record_target_refusal",
    "refuse_queue",
    "refuse_queued_of_submission",
    "revoke",
    "run_queue",
]


# After a refusal with this reason, an entry queues the task again at once, even
# beyond the limit of attempts.
NO_CAPACITY = "no capacity"
# A task that takes more than this share of the target may wait in the queue.
LARGE_TASK_SHARE = 0.25


def receive_start(state: AgentState, entry: str, start: Start, now_ms: int) -> None:
    """Handle a start message: run, queue or refuse the task, or answer again."""
    attempt = start.attempt
    row = state.table.find(attempt.submission, attempt.task)
    if row is not None and answer_repeated_start(state, entry, start, row, now_ms):
        return
    reason = refusal_reason(state, entry, start, now_ms)
    if reason:
        refuse_start(state, entry, start, reason, now_ms)
        return
    accept_start(state, entry, start, now_ms)


def answer_repeated_start(
    state: AgentState, entry: str, start: Start, row: Row, now_ms: int
) -> bool:
    """Answer a repeated start from the task's row.

    Return whether that settles the start; if not, it is handled as a new one.
    """
    if row.state == "tombstone":
        return start.attempt.number <= row.attempt.number and resend_refusal(
            state, entry, start, now_ms
        )
    is_rerun = start.task.idempotent and start.attempt.number > row.attempt.number
    if row.state == "finished" and row.result is not None:
        if is_rerun and row.result.state != "answered":
            return False
        state.counters["repeated_answers"] += 1
        state.effects.append(Send(entry, Done(start.attempt, row.result, state.load())))
        return True
    row.attempt = max(row.attempt, start.attempt, key=lambda item: item.number)
    row.reply_to = entry
    return True


def resend_refusal(state: AgentState, entry: str, start: Start, now_ms: int) -> bool:
    """Refuse an attempt that a tombstone covers; always returns true."""
    send_refusal(state, entry, start.attempt, "revoked", False)
    return True


def refusal_reason(state: AgentState, entry: str, start: Start, now_ms: int) -> str:
    """Return why a start must be refused, or an empty string to accept it."""
    link = state.links.get(entry)
    if link is None or link.lease_until_ms <= now_ms:
        return "lease lapsed"
    if state.leaving:
        return "leaving"
    record = state.table.submissions.get(start.attempt.submission)
    if record is not None and start.epoch < record.epoch:
        return "fenced by a later epoch"
    if state.table.is_full():
        return "start table full"
    if start.budget_ms <= 0:
        return "deadline"
    return capacity_refusal_reason(state, start)


def capacity_refusal_reason(state: AgentState, start: Start) -> str:
    """Return which resource is short, or an empty string if the task fits.

    A task fits if it can run now or wait in the queue.
    """
    task = start.task
    if state.accelerators_in_use + task.accelerators > state.shape.accelerators:
        return "no accelerator free" if task.accelerators else ""
    units = reserved_units(state, start)
    if state.load() + units <= state.units + state.policy.queue_units:
        return ""
    # Smaller tasks would keep taking the units that a large one needs at once,
    # so it may wait at the head of an empty queue.
    if units > LARGE_TASK_SHARE * state.units and not state.queue:
        return ""
    return NO_CAPACITY


def reserved_units(state: AgentState, start: Start) -> int:
    """Return the units to reserve for a task, at most the target's total.

    The declared size is corrected by the measured use of the task's kind.
    """
    declared = task_units(start.task, state.shape)
    return min(state.units, state.usage.corrected_units(start.task.kind, declared))


def accept_start(state: AgentState, entry: str, start: Start, now_ms: int) -> None:
    """Store the row, then run the task or queue it."""
    row = Row(start.attempt, start.task, now_ms + start.budget_ms, entry)
    row.units = reserved_units(state, start)
    state.table.put(open_record(state, start, now_ms), row)
    if state.units_in_use + row.units <= state.units and not state.queue:
        run_task(state, row, now_ms)
        return
    row.advance("queue")
    state.queue.append(row)
    state.queued_units += row.units


def open_record(state: AgentState, start: Start, now_ms: int) -> SubmissionRecord:
    """Return the submission's record, to be kept while a start may be repeated."""
    policy = state.policy
    retention_ms = (
        policy.idempotent_row_retention_ms
        if start.task.idempotent
        else policy.row_retention_ms
    )
    expires_at_ms = now_ms + start.budget_ms + retention_ms
    record = state.table.get_or_create(start.attempt.submission, expires_at_ms)
    record.epoch = max(record.epoch, start.epoch)
    return record


def run_task(state: AgentState, row: Row, now_ms: int) -> None:
    """Reserve capacity for a task and start it on the target."""
    assert row.task is not None
    row.advance("run")
    row.started_at_ms = now_ms
    state.units_in_use += row.units
    state.accelerators_in_use += row.task.accelerators
    state.running[row.attempt.submission, row.attempt.task] = row
    state.counters["starts"] += 1
    budget_ms = row.deadline_ms - now_ms
    state.effects.append(RunTask(row.attempt, row.task, budget_ms))


def run_queue(state: AgentState, now_ms: int) -> None:
    """Run queued tasks in order while they fit; refuse overdue ones."""
    while state.queue:
        row = state.queue[0]
        late = row.deadline_ms <= now_ms
        if not late and state.units_in_use + row.units > state.units:
            return
        state.queue.popleft()
        state.queued_units -= row.units
        if late:
            row.advance("refuse")
            send_refusal(state, row.reply_to, row.attempt, "deadline", False)
            continue
        run_task(state, row, now_ms)


def free_capacity(state: AgentState, row: Row) -> None:
    """Free the capacity that a running task holds."""
    assert row.task is not None
    state.units_in_use -= row.units
    state.accelerators_in_use -= row.task.accelerators
    state.running.pop((row.attempt.submission, row.attempt.task), None)
    state.usage.forget_attempt(row.attempt)


def finish_task(
    state: AgentState, attempt: Attempt, result: TaskResult, now_ms: int
) -> None:
    """Record the result of a running task and answer its entry."""
    row = state.running.get((attempt.submission, attempt.task))
    if row is None:
        return
    free_capacity(state, row)
    row.advance("finish")
    row.result = result
    row.task = None
    run_queue(state, now_ms)
    if row.reply_to in state.links:
        state.effects.append(
            Send(row.reply_to, Done(row.attempt, result, state.load()))
        )


def record_target_refusal(
    state: AgentState, attempt: Attempt, reason: str, now_ms: int
) -> None:
    """Record that the target did not start a task, and refuse it to the entry."""
    row = state.running.get((attempt.submission, attempt.task))
    if row is None:
        return
    free_capacity(state, row)
    row.advance("deny")
    row.task = None
    run_queue(state, now_ms)
    send_refusal(state, row.reply_to, row.attempt, reason, True)


def refuse_start(
    state: AgentState, entry: str, start: Start, reason: str, now_ms: int
) -> None:
    """Refuse an attempt, and record a tombstone so that it cannot start later."""
    if not state.table.is_full():
        row = Row(start.attempt, None, now_ms, entry)
        row.advance("refuse")
        record = open_record(state, start._replace(epoch=0), now_ms)
        state.table.put(record, row)
    send_refusal(state, entry, start.attempt, reason, False)


def send_refusal(
    state: AgentState,
    entry: str,
    attempt: Attempt,
    reason: str,
    fault: bool,
) -> None:
    """Report to an entry that an attempt will never start."""
    state.counters["refusals"] += 1
    if entry in state.links:
        state.effects.append(Send(entry, Refused(attempt, reason, state.load(), fault)))


def revoke(state: AgentState, entry: str, attempt: Attempt, now_ms: int) -> None:
    """Ensure that an attempt never starts; one that has started is left alone."""
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
        expires_at_ms = now_ms + state.policy.row_retention_ms
        state.table.put(
            state.table.get_or_create(attempt.submission, expires_at_ms), row
        )
    send_refusal(state, entry, attempt, "revoked", False)


def remove_queued(state: AgentState, row: Row) -> None:
    """Remove a row from the queue and turn it into a tombstone."""
    state.queue.remove(row)
    state.queued_units -= row.units
    row.advance("refuse")


def refuse_queue(state: AgentState, reason: str) -> None:
    """Refuse all queued tasks."""
    for row in list(state.queue):
        remove_queued(state, row)
        send_refusal(state, row.reply_to, row.attempt, reason, False)


def refuse_queued_of_submission(state: AgentState, submission: str) -> None:
    """Refuse the queued tasks of a submission."""
    for row in list(state.queue):
        if row.attempt.submission == submission:
            remove_queued(state, row)
            send_refusal(state, row.reply_to, row.attempt, "cancelled", False)
