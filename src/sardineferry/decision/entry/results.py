"""Handles answers, refusals and losses of attempts; retries and hedges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.agent.starts import NO_CAPACITY
from sardineferry.decision.averages_by_kind import average_of_kind
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.outcomes import end_task
from sardineferry.decision.entry.outcomes import give_up
from sardineferry.decision.entry.outcomes import unplace
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.routing import expected_ms
from sardineferry.decision.entry.routing import learn_run
from sardineferry.decision.entry.routing import pick
from sardineferry.decision.entry.routing import send_task
from sardineferry.decision.retry_limits import backoff_ms
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import TaskEntry
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.decision.entry.state import Member
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.job import TaskResult

__all__ = ["hedge_late", "lose_attempt", "receive_done", "receive_refusal"]

FAULT_AGENTS = 2
EJECTED_SHARE = 0.5
KIND_WORKS = 0.2
SUCCESS_WEIGHT = 0.1


def receive_done(
    state: EntryState, member: Member, event: wire.Done, now_ms: int
) -> None:
    """Take the result of an attempt; one that is stale is dropped."""
    task = find_attempt(state, member, event.attempt)
    if task is None:
        state.counters["stale_answers"] += 1
    else:
        take_result(state, member, task, event.result, now_ms)
    member.note_load(event.load, now_ms)
    member.last_done_ms = now_ms
    dispatch(state, now_ms)


def find_attempt(
    state: EntryState, member: Member, attempt: Attempt
) -> TaskEntry | None:
    """Return the task that waits for this attempt at this agent."""
    task = member.in_flight.get((attempt.submission, attempt.task))
    if task is None or task.placed.get(member.name) != attempt.number:
        return None
    return task


def take_result(
    state: EntryState,
    member: Member,
    task: TaskEntry,
    result: TaskResult,
    now_ms: int,
) -> None:
    """End the task, or try again where that is allowed."""
    note_kind(state, task, result.state == "answered")
    if result.state == "answered":
        learn_run(state, member, task.task, result.run_ms)
        take_answer(state, member, task, result, now_ms)
        return
    note_fault(state, member, task, now_ms)
    if not task.task.idempotent:
        event = "fail" if result.state == "failed" else "lose"
        end_task(state, task, event, result.reason, now_ms)
        return
    task.tried.add(member.name)
    permanent = result.state == "failed" and len(task.tried) >= FAULT_AGENTS
    unplace(state, task, member.name)
    if task.placed:
        return
    if permanent or not may_retry(state, task):
        end_task(state, task, "fail", result.reason, now_ms)
        return
    retry_later(state, task, now_ms)


def note_kind(state: EntryState, task: TaskEntry, success: bool) -> None:
    """Learn which share of a kind of task succeeds anywhere."""
    learned = average_of_kind(state.kind_success, task.task.kind, 0.0, SUCCESS_WEIGHT)
    learned.add(1.0 if success else 0.0)


def take_answer(
    state: EntryState,
    member: Member,
    task: TaskEntry,
    result: TaskResult,
    now_ms: int,
) -> None:
    """End a task with its answer and revoke other attempts at it."""
    policy = state.policy_in_force()
    state.retry_budget.earn(policy.retry_ratio)
    state.hedge_budget.earn(policy.hedge_ratio)
    member.health.record_success()
    state.completed_since_tick += 1
    unplace(state, task, member.name)
    job = task.job.job
    for agent, number in task.placed.items():
        message = wire.Revoke(job.submission, ((task.task.id, number),))
        state.effects.append(Send(agent, message))
    task.answer = result.answer
    end_task(state, task, "answer", "", now_ms)


def note_fault(state: EntryState, member: Member, task: TaskEntry, now_ms: int) -> None:
    """Count a failure against an agent, unless the task is to blame."""
    learned = state.kind_success.get(task.task.kind)
    kind_works = learned is not None and learned.value > KIND_WORKS
    active = [item for item in state.members.values() if item.state == "active"]
    ejected = [item for item in active if item.health.state != "closed"]
    room = len(ejected) + 1 <= EJECTED_SHARE * len(active)
    if member.health.record_failure(now_ms, kind_works and room):
        state.counters["ejections"] += 1


def may_retry(state: EntryState, task: TaskEntry) -> bool:
    """Tell whether a failed attempt may be repeated, and pay for it."""
    if task.job.cancelled or task.number >= state.policy.attempt_limit:
        return False
    if not state.retry_budget.spend():
        state.counters["retries_denied"] += 1
        return False
    state.counters["retries"] += 1
    return True


def retry_later(state: EntryState, task: TaskEntry, now_ms: int) -> None:
    """Queue a task again after a capped exponential, jittered delay."""
    task.started = True
    task.advance("retry")
    delay_ms = backoff_ms(task.failures)
    task.failures += 1
    task.not_before_ms = now_ms + int(delay_ms * state.random.uniform(0.5, 1.0))
    state.delayed.append(task)


def receive_refusal(
    state: EntryState, member: Member, event: wire.Refused, now_ms: int
) -> None:
    """Route a task elsewhere that an agent provably did not start."""
    state.counters["refusals"] += 1
    task = find_attempt(state, member, event.attempt)
    if task is not None:
        unplace(state, task, member.name)
        note_full(state, member, event, now_ms)
        if event.fault:
            note_fault(state, member, task, now_ms)
            task.tried.add(member.name)
        if not task.placed:
            requeue_refused(state, task, event.reason, now_ms)
    dispatch(state, now_ms)


def note_full(
    state: EntryState, member: Member, event: wire.Refused, now_ms: int
) -> None:
    """Learn from a refusal for lack of capacity that a target is full."""
    if event.reason != NO_CAPACITY:
        return
    member.note_load(max(event.load, member.capacity), now_ms)
    member.full_until_ms = now_ms + state.policy.full_ms


def requeue_refused(
    state: EntryState, task: TaskEntry, reason: str, now_ms: int
) -> None:
    """Queue a refused task at the front, or end it as not run."""
    task.advance("refuse")
    if not task.task.idempotent:
        task.started = False
    if task.job.cancelled:
        give_up(state, task, "cancel", "cancelled", now_ms)
        return
    if reason == NO_CAPACITY or task.number < state.policy.attempt_limit:
        state.queue.push(task, now_ms, front=True)
        return
    if task.job.deadline_ms > now_ms:
        task.not_before_ms = now_ms + backoff_ms(min(10, task.number))
        state.delayed.append(task)
        return
    give_up(state, task, "expire", reason, now_ms)


def lose_attempt(
    state: EntryState, task: TaskEntry, agent: str, reason: str, now_ms: int
) -> None:
    """Retry an idempotent task of a lost agent; others end unknown."""
    unplace(state, task, agent)
    if task.is_final() or task.placed:
        return
    if not task.task.idempotent:
        end_task(state, task, "lose", reason, now_ms)
        return
    task.started = True
    task.tried.add(agent)
    task.advance("retry")
    if task.job.cancelled:
        give_up(state, task, "cancel", "cancelled", now_ms)
        return
    state.counters["retries"] += 1
    state.queue.push(task, now_ms, front=True)


def hedge_late(state: EntryState, now_ms: int) -> None:
    """Send a second attempt of idempotent tasks at targets that seem stuck."""
    if state.hedge_budget.tokens < 1.0 or state.queue.waiting:
        return
    for member in list(state.members.values()):
        for task in list(member.in_flight.values()):
            if not may_hedge(state, member, task, now_ms):
                continue
            other = pick(state, task, now_ms)
            if other is None or not state.hedge_budget.spend():
                return
            state.counters["hedges"] += 1
            send_task(state, task, other, now_ms)


def may_hedge(state: EntryState, member: Member, task: TaskEntry, now_ms: int) -> bool:
    """Tell whether a task is late because of its target.

    A task may be long by itself; a target that answered others meanwhile is
    not stuck.
    """
    if not task.task.idempotent or len(task.placed) > 1:
        return False
    if member.last_done_ms > task.sent_at_ms:
        return False
    usual_ms = expected_ms(state, task.task) * member.factor.value
    late_ms = max(
        state.policy.hedge_floor_ms, int(state.policy.hedge_factor * usual_ms)
    )
    return now_ms - task.sent_at_ms >= late_ms
