"""Chooses an agent for each waiting task.

Agents report their target's load with every answer, so no extra messages are
needed. An entry sends a task only to a target that seems to have units free
besides the load of the other entries. The remaining tasks wait in the entry's
queue, from which they can still go to any agent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.averages_by_kind import average_of_kind
from sardineferry.decision.capacity_units import fits
from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.outcomes import end_waiting_task
from sardineferry.messages import wire
from sardineferry.messages.job import Attempt

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import TrackedTask
    from sardineferry.decision.entry.state import AgentView
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages.job import Task

__all__ = [
    "build_start_message",
    "can_send",
    "choose_agent",
    "dispatch",
    "expected_run_ms",
    "expire_if_too_late",
    "fastest_run_time_factor",
    "record_run",
    "send_task",
    "sort_agents_by_speed",
    "team_limit",
]

# Expected run time of a task whose kind has no declared or measured run time.
DEFAULT_RUN_MS = 200.0
# A waiting task is ended when no more than this share of its expected run time
# is left before the deadline.
MIN_TIME_LEFT_SHARE = 0.75
# Weight of one run in the mean run time of its kind of task.
RUN_TIME_SAMPLE_WEIGHT = 0.005


def expected_run_ms(state: EntryState, task: Task) -> float:
    """Return the expected run time of a task on an average target."""
    learned = state.run_time_by_kind.get(task.kind)
    if task.run_ms > 0 and (learned is None or learned.count == 0):
        return float(task.run_ms)
    if learned is None:
        return DEFAULT_RUN_MS
    return learned.value * max(1, task.run_ms)


def record_run(state: EntryState, view: AgentView, task: Task, run_ms: int) -> None:
    """Update the target's run-time factor and the mean run time of the task's kind.

    For kinds whose tasks declare a run time, the ratio to it is learned.
    """
    expected = expected_run_ms(state, task)
    view.run_time_factor.add(min(20.0, run_ms / max(1.0, expected)))
    scale = max(1, task.run_ms)
    start = expected / scale
    learned = average_of_kind(
        state.run_time_by_kind, task.kind, start, RUN_TIME_SAMPLE_WEIGHT
    )
    learned.add(run_ms / scale)


def team_limit(state: EntryState, team: str, now_ms: int) -> int:
    """Return how many attempts a team may have running through this entry.

    That is the quota less the attempts that peers last reported, but at least
    an even share of the quota. A peer without a link, or silent for
    ``peer_timeout_ms``, counts as using its even share until it is removed
    (``peers.remove_silent_peers``).
    """
    quota = state.policy.team_quotas[team]
    timeout_ms = state.policy.peer_timeout_ms
    reachable = [
        peer
        for peer in state.peers.values()
        if peer.link and now_ms - peer.last_heard_at_ms < timeout_ms
    ]
    even_share = max(1, quota // (len(state.peers) + 1))
    unreachable = len(state.peers) - len(reachable)
    elsewhere = sum(peer.running_by_team.get(team, 0) for peer in reachable)
    return max(even_share, quota - elsewhere - unreachable * even_share)


def entry_share_units(state: EntryState, view: AgentView) -> int:
    """Return an even share of a target's units among the linked entries."""
    entries = 1 + sum(1 for peer in state.peers.values() if peer.link)
    return -(-view.capacity_units // entries)


def can_send(
    state: EntryState,
    view: AgentView,
    task: TrackedTask,
    excess_units: float,
    now_ms: int,
) -> bool:
    """Return whether the task may be sent to an agent now.

    ``excess_units`` is by how much the target's capacity would be exceeded,
    with the estimated load of other entries. An excess is allowed only if this
    entry has no other task there, or stays within its even share of the target.
    A claimed task may only go to agents on the roster of its claim.
    """
    if view.full_until_ms > now_ms or view.name in task.attempt_by_agent:
        return False
    own_units = view.own_units + task_units(task.spec, view.shape)
    if (
        excess_units > 0
        and view.own_units
        and own_units > entry_share_units(state, view)
    ):
        return False
    if not view.health.allows(now_ms):
        return False
    roster = task.job.roster
    needs_roster = not task.spec.idempotent and roster is not None
    if needs_roster and view.identity() not in (roster or ()):
        return False
    return fits(task.spec, view.shape)


def sort_agents_by_speed(state: EntryState) -> None:
    """Order the linked, active agents by the expected time of a long task there.

    That is a task of the kind with the largest value in ``run_time_by_kind``. For
    kinds whose tasks declare a run time the value is a ratio, but it is used as
    milliseconds, too.
    """
    longest_ms = max(
        (learned.value for learned in state.run_time_by_kind.values()),
        default=DEFAULT_RUN_MS,
    )
    state.fastest_first = sorted(
        (
            view
            for view in state.agents.values()
            if view.linked and view.state == "active"
        ),
        key=lambda view: (
            view.run_time_factor.value * longest_ms + view.extra_round_trip_ms
        ),
    )


def choose_agent(state: EntryState, task: TrackedTask, now_ms: int) -> AgentView | None:
    """Return the fastest agent with enough units free, if any.

    Otherwise return the agent that may get the task and should end it first.
    Agents on which the task failed are used only if no other may get it.
    """
    best: AgentView | None = None
    best_rank = (True, 0.0)
    half_life_ms = state.policy.load_half_life_ms
    for view in state.fastest_first:
        other_units = view.estimate_other_units(now_ms, half_life_ms)
        units = task_units(task.spec, view.shape)
        excess_units = view.own_units + other_units + units - view.capacity_units
        if not can_send(state, view, task, excess_units, now_ms):
            continue
        failed = view.name in task.failed_agents
        if excess_units <= 0 and not failed:
            return view
        excess_share = max(0.0, excess_units) / view.capacity_units
        rank = (failed, view.run_time_factor.value * (1 + excess_share))
        if best is None or rank < best_rank:
            best = view
            best_rank = rank
    return best


def send_task(
    state: EntryState, task: TrackedTask, view: AgentView, now_ms: int
) -> None:
    """Send a new attempt at the task to an agent."""
    task.advance("send")
    task.attempt_number += 1
    task.sent_at_ms = now_ms
    spec = task.job.spec
    task.attempt_by_agent[view.name] = task.attempt_number
    view.in_flight[spec.submission, task.spec.id] = task
    view.own_units += task_units(task.spec, view.shape)
    state.queue.add_running(spec.team, 1)
    view.health.record_sent()
    state.counters["starts"] += 1
    state.effects.append(Send(view.name, build_start_message(task, view, now_ms)))


def build_start_message(task: TrackedTask, view: AgentView, now_ms: int) -> wire.Start:
    """Return the message that starts or repeats the task's attempt at an agent."""
    job = task.job
    number = task.attempt_by_agent[view.name]
    attempt = Attempt(job.spec.submission, task.spec.id, number)
    budget_ms = job.deadline_ms - now_ms
    return wire.Start(attempt, view.incarnation, job.epoch, budget_ms, task.spec)


def fastest_run_time_factor(state: EntryState) -> float:
    """Return the run-time factor of the fastest active target, at most 1.0."""
    if not state.fastest_first:
        return 1.0
    return min(1.0, state.fastest_first[0].run_time_factor.value)


def expire_if_too_late(state: EntryState, task: TrackedTask, now_ms: int) -> bool:
    """End a waiting task that cannot be expected to meet its deadline.

    Return whether the task has its outcome.
    """
    if task.is_final():
        return True
    needed_ms = fastest_run_time_factor(state) * expected_run_ms(state, task.spec)
    if task.job.deadline_ms - now_ms > needed_ms * MIN_TIME_LEFT_SHARE:
        return False
    end_waiting_task(state, task, "expire", "deadline", now_ms)
    return True


def dispatch(state: EntryState, now_ms: int) -> None:
    """Queue due retries, and send waiting tasks as long as an agent can take one."""
    queue_due_retries(state, now_ms)
    while state.queue.waiting and dispatch_next(state, now_ms):
        pass


def queue_due_retries(state: EntryState, now_ms: int) -> None:
    """Queue the tasks whose retry delay has passed."""
    if not state.delayed_tasks:
        return
    due = [task for task in state.delayed_tasks if task.not_before_ms <= now_ms]
    if not due:
        return
    state.delayed_tasks = [
        task for task in state.delayed_tasks if task.not_before_ms > now_ms
    ]
    for task in due:
        if not task.is_final() and task.job.state == "running":
            state.queue.push(task, now_ms, front=True)


def dispatch_next(state: EntryState, now_ms: int) -> bool:
    """Send or expire the first task of the first team that can be served.

    Return whether there was one.
    """
    for team in state.queue.teams_to_serve():
        task = state.queue.tasks_by_team[team][0]
        if task.job.state != "running":
            # The job was forwarded while the task waited; its owner starts it.
            state.queue.remove_head(team)
            return True
        if expire_if_too_late(state, task, now_ms):
            state.queue.remove_head(team)
            return True
        if state.queue.running_by_team.get(team, 0) >= team_limit(state, team, now_ms):
            continue
        view = choose_agent(state, task, now_ms)
        if view is None:
            continue
        state.queue.remove_head(team)
        send_task(state, task, view, now_ms)
        return True
    return False
