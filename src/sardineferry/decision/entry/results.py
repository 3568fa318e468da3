"""Handles the results, refusals and losses of attempts; retries and hedges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.agent.starts import NO_CAPACITY
from sardineferry.decision.averages_by_kind import average_of_kind
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.outcomes import end_task
from sardineferry.decision.entry.outcomes import end_waiting_task
from sardineferry.decision.entry.outcomes import forget_attempt
from sardineferry.decision.entry.routing import choose_agent
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.routing import expected_run_ms
from sardineferry.decision.entry.routing import record_run
from sardineferry.decision.entry.routing import send_task
from sardineferry.decision.retry_limits import backoff_ms
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import TrackedTask
    from sardineferry.decision.entry.state import AgentView
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.job import TaskResult

__all__ = ["hedge_late_tasks", "lose_attempt", "receive_done", "receive_refusal"]

# A task that failed on so many agents is not retried: its failure is assumed to be
# permanent.
MAX_FAILED_AGENTS = 2
# At most this share of the active agents is ejected at a time.
MAX_EJECTED_SHARE = 0.5
# Failures eject a target only if the success rate of the task's kind over all
# agents is higher than this.
MIN_KIND_SUCCESS_RATE = 0.2
# Weight of one result in the success rate of its kind of task.
SUCCESS_SAMPLE_WEIGHT = 0.1


def receive_done(
    state: EntryState, view: AgentView, event: wire.Done, now_ms: int
) -> None:
    """Apply the result of an attempt, unless nothing waits for it any more."""
    task = find_attempt(state, view, event.attempt)
    if task is None:
        state.counters["stale_answers"] += 1
    else:
        apply_result(state, view, task, event.result, now_ms)
    view.record_load(event.load, now_ms)
    view.last_result_at_ms = now_ms
    dispatch(state, now_ms)


def find_attempt(
    state: EntryState, view: AgentView, attempt: Attempt
) -> TrackedTask | None:
    """Return the task of an attempt, if the attempt is in flight at the agent."""
    task = view.in_flight.get((attempt.submission, attempt.task))
    if task is None or task.attempt_by_agent.get(view.name) != attempt.number:
        return None
    return task


def apply_result(
    state: EntryState,
    view: AgentView,
    task: TrackedTask,
    result: TaskResult,
    now_ms: int,
) -> None:
    """End the task by a result, or schedule a retry if that is allowed.

    Non-idempotent tasks are never retried. While another attempt is in flight,
    the task waits for that one.
    """
    record_kind_outcome(state, task, result.state == "answered")
    if result.state == "answered":
        record_run(state, view, task.spec, result.run_ms)
        accept_answer(state, view, task, result, now_ms)
        return
    record_failure(state, view, task, now_ms)
    if not task.spec.idempotent:
        event = "fail" if result.state == "failed" else "lose"
        end_task(state, task, event, result.reason, now_ms)
        return
    task.failed_agents.add(view.name)
    permanent = (
        result.state == "failed" and len(task.failed_agents) >= MAX_FAILED_AGENTS
    )
    forget_attempt(state, task, view.name)
    if task.attempt_by_agent:
        return
    if permanent or not spend_retry(state, task):
        end_task(state, task, "fail", result.reason, now_ms)
        return
    schedule_retry(state, task, now_ms)


def record_kind_outcome(state: EntryState, task: TrackedTask, success: bool) -> None:
    """Update the success rate of the task's kind over all agents."""
    learned = average_of_kind(
        state.success_rate_by_kind, task.spec.kind, 0.0, SUCCESS_SAMPLE_WEIGHT
    )
    learned.add(1.0 if success else 0.0)


def accept_answer(
    state: EntryState,
    view: AgentView,
    task: TrackedTask,
    result: TaskResult,
    now_ms: int,
) -> None:
    """End a task with its answer and revoke its other attempts."""
    policy = state.preset_policy()
    state.retry_budget.earn(policy.retry_ratio)
    state.hedge_budget.earn(policy.hedge_ratio)
    view.health.record_success()
    state.completed_in_window += 1
    forget_attempt(state, task, view.name)
    spec = task.job.spec
    for agent, number in task.attempt_by_agent.items():
        message = wire.Revoke(spec.submission, ((task.spec.id, number),))
        state.effects.append(Send(agent, message))
    task.answer = result.answer
    end_task(state, task, "answer", "", now_ms)


def record_failure(
    state: EntryState, view: AgentView, task: TrackedTask, now_ms: int
) -> None:
    """Count a failure of an agent's target, which may eject the target.

    It is not ejected if tasks of the kind fail on all targets, or if too many
    targets are ejected already.
    """
    learned = state.success_rate_by_kind.get(task.spec.kind)
    kind_works = learned is not None and learned.value > MIN_KIND_SUCCESS_RATE
    active = [item for item in state.agents.values() if item.state == "active"]
    ejected = [item for item in active if item.health.state != "closed"]
    below_limit = len(ejected) + 1 <= MAX_EJECTED_SHARE * len(active)
    if view.health.record_failure(now_ms, kind_works and below_limit):
        state.counters["ejections"] += 1


def spend_retry(state: EntryState, task: TrackedTask) -> bool:
    """Take a token of the retry budget; return whether the task may be retried."""
    if task.job.cancelled or task.attempt_number >= state.policy.attempt_limit:
        return False
    if not state.retry_budget.spend():
        state.counters["retries_denied"] += 1
        return False
    state.counters["retries"] += 1
    return True


def schedule_retry(state: EntryState, task: TrackedTask, now_ms: int) -> None:
    """Retry a task after exponential backoff with jitter."""
    task.may_have_run = True
    task.advance("retry")
    delay_ms = backoff_ms(task.failures)
    task.failures += 1
    task.not_before_ms = now_ms + int(delay_ms * state.random.uniform(0.5, 1.0))
    state.delayed_tasks.append(task)


def receive_refusal(
    state: EntryState, view: AgentView, event: wire.Refused, now_ms: int
) -> None:
    """Queue a task again that an agent refused and thus never started."""
    state.counters["refusals"] += 1
    task = find_attempt(state, view, event.attempt)
    if task is not None:
        forget_attempt(state, task, view.name)
        record_full_target(state, view, event, now_ms)
        if event.fault:
            record_failure(state, view, task, now_ms)
            task.failed_agents.add(view.name)
        if not task.attempt_by_agent:
            requeue_refused(state, task, event.reason, now_ms)
    dispatch(state, now_ms)


def record_full_target(
    state: EntryState, view: AgentView, event: wire.Refused, now_ms: int
) -> None:
    """Mark a target as full for ``full_ms`` if it refused for lack of capacity."""
    if event.reason != NO_CAPACITY:
        return
    view.record_load(max(event.load, view.capacity_units), now_ms)
    view.full_until_ms = now_ms + state.policy.full_ms


def requeue_refused(
    state: EntryState, task: TrackedTask, reason: str, now_ms: int
) -> None:
    """Queue a refused task again, or end it if it may not be tried again.

    After ``attempt_limit`` attempts it is queued only after a delay, unless the
    refusal was for lack of capacity.
    """
    task.advance("refuse")
    if not task.spec.idempotent:
        task.may_have_run = False
    if task.job.cancelled:
        end_waiting_task(state, task, "cancel", "cancelled", now_ms)
        return
    if reason == NO_CAPACITY or task.attempt_number < state.policy.attempt_limit:
        state.queue.push(task, now_ms, front=True)
        return
    if task.job.deadline_ms > now_ms:
        task.not_before_ms = now_ms + backoff_ms(min(10, task.attempt_number))
        state.delayed_tasks.append(task)
        return
    end_waiting_task(state, task, "expire", reason, now_ms)


def lose_attempt(
    state: EntryState, task: TrackedTask, agent: str, reason: str, now_ms: int
) -> None:
    """Retry a task whose attempt was lost, or end it as unknown if not idempotent."""
    forget_attempt(state, task, agent)
    if task.is_final() or task.attempt_by_agent:
        return
    if not task.spec.idempotent:
        end_task(state, task, "lose", reason, now_ms)
        return
    task.may_have_run = True
    task.failed_agents.add(agent)
    task.advance("retry")
    if task.job.cancelled:
        end_waiting_task(state, task, "cancel", "cancelled", now_ms)
        return
    state.counters["retries"] += 1
    state.queue.push(task, now_ms, front=True)


def hedge_late_tasks(state: EntryState, now_ms: int) -> None:
    """Send a second attempt at idempotent tasks whose target seems stuck.

    This needs hedge budget and a queue without waiting tasks.
    """
    if state.hedge_budget.tokens < 1.0 or state.queue.waiting:
        return
    for view in list(state.agents.values()):
        for task in list(view.in_flight.values()):
            if not may_hedge(state, view, task, now_ms):
                continue
            other = choose_agent(state, task, now_ms)
            if other is None or not state.hedge_budget.spend():
                return
            state.counters["hedges"] += 1
            send_task(state, task, other, now_ms)


def may_hedge(
    state: EntryState, view: AgentView, task: TrackedTask, now_ms: int
) -> bool:
    """Return whether a task is late because its target seems stuck.

    A target that has ended another task since this one was sent is not stuck:
    the task itself takes long.
    """
    if not task.spec.idempotent or len(task.attempt_by_agent) > 1:
        return False
    if view.last_result_at_ms > task.sent_at_ms:
        return False
    expected_ms = expected_run_ms(state, task.spec) * view.run_time_factor.value
    late_ms = max(
        state.policy.hedge_min_delay_ms,
        int(state.policy.hedge_delay_factor * expected_ms),
    )
    return now_ms - task.sent_at_ms >= late_ms
