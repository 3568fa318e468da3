"""Chooses an agent for each waiting task and asks for credits.

A credit stands for a free unit of a target, so tasks wait here and not at a
target. Among agents with credits the one with the least expected run time
is chosen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.cost import fits
from sardineferry.decision.cost import task_units
from sardineferry.decision.effects import Send
from sardineferry.decision.entry.outcomes import give_up
from sardineferry.decision.estimate import Estimate
from sardineferry.messages import wire
from sardineferry.messages.job import Attempt

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import TaskEntry
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.decision.entry.state import Member
    from sardineferry.messages.job import Task

__all__ = [
    "dispatch",
    "expected_ms",
    "expire_if_hopeless",
    "learn_run",
    "may_send",
    "pick",
    "send_task",
    "start_message",
    "team_limit",
]

DEFAULT_RUN_MS = 200.0


def expected_ms(state: EntryState, task: Task) -> float:
    """Return the run time to expect of a task on an average target."""
    learned = state.kind_ms.get(task.kind)
    if task.run_ms > 0 and (learned is None or learned.count == 0):
        return float(task.run_ms)
    if learned is None:
        return DEFAULT_RUN_MS
    return learned.value * max(1, task.run_ms)


def learn_run(state: EntryState, member: Member, task: Task, run_ms: int) -> None:
    """Learn from a run, first the target's factor, then the task's kind."""
    expected = expected_ms(state, task)
    member.factor.add(min(20.0, run_ms / max(1.0, expected)))
    scale = max(1, task.run_ms)
    learned = state.kind_ms.setdefault(task.kind, Estimate(expected / scale, 0.02))
    learned.add(run_ms / scale)


def team_limit(state: EntryState, team: str, now_ms: int) -> int:
    """Return the units a team may have running through this entry.

    It is the quota less what peers last told to be running, but at least an
    even share. Peers that are silent count with an even share.
    """
    quota = state.policy.team_quotas[team]
    timeout_ms = state.policy.peer_timeout_ms
    fresh = [
        peer
        for peer in state.peers.values()
        if peer.link and now_ms - peer.last_heard_ms < timeout_ms
    ]
    even = max(1, quota // (len(state.peers) + 1))
    silent = len(state.peers) - len(fresh)
    elsewhere = sum(peer.running.get(team, 0) for peer in fresh)
    return max(even, quota - elsewhere - silent * even)


def may_send(member: Member, task: TaskEntry, now_ms: int) -> bool:
    """Tell whether an agent may get this task now."""
    if member.state != "active" or not member.linked:
        return False
    if not member.health.allows(now_ms):
        return False
    if member.name in task.placed:
        return False
    if member.credits < task_units(task.task, member.shape):
        return False
    roster = task.job.roster
    bound = not task.task.idempotent and roster is not None
    if bound and member.identity() not in (roster or ()):
        return False
    return fits(task.task, member.shape)


def pick(state: EntryState, task: TaskEntry, now_ms: int) -> Member | None:
    """Return the agent with credit and the least expected run time.

    Agents on which the task failed are taken only when no other is left.
    """
    best: Member | None = None
    best_rank = (True, 0.0)
    for member in state.creditors.values():
        if not may_send(member, task, now_ms):
            continue
        rank = (member.name in task.tried, member.factor.value)
        if best is None or rank < best_rank:
            best = member
            best_rank = rank
    return best


def send_task(state: EntryState, task: TaskEntry, member: Member, now_ms: int) -> None:
    """Start an attempt at an agent."""
    task.advance("send")
    task.number += 1
    task.sent_at_ms = now_ms
    job = task.job.job
    task.placed[member.name] = task.number
    member.in_flight[job.submission, task.task.id] = task
    state.add_credits(member, -task_units(task.task, member.shape))
    state.queue.note_running(job.team, 1)
    member.health.note_sent()
    state.counters["starts"] += 1
    state.effects.append(Send(member.name, start_message(task, member, now_ms)))


def start_message(task: TaskEntry, member: Member, now_ms: int) -> wire.Start:
    """Return the message that starts (or repeats) the latest attempt."""
    entry = task.job
    number = task.placed[member.name]
    attempt = Attempt(entry.job.submission, task.task.id, number)
    return wire.Start(attempt, entry.epoch, entry.deadline_ms - now_ms, task.task)


def expire_if_hopeless(state: EntryState, task: TaskEntry, now_ms: int) -> bool:
    """End a waiting task whose deadline passed; tell whether it ended."""
    if task.is_final():
        return True
    if task.job.deadline_ms > now_ms:
        return False
    give_up(state, task, "expire", "deadline", now_ms)
    return True


def dispatch(state: EntryState, now_ms: int) -> None:
    """Send waiting tasks while credits last, then ask for more credits."""
    release_delayed(state, now_ms)
    while state.queue.waiting and dispatch_one(state, now_ms):
        pass
    if state.queue.waiting:
        ask_for_credits(state, now_ms)


def release_delayed(state: EntryState, now_ms: int) -> None:
    """Queue tasks whose retry delay has passed."""
    if not state.delayed:
        return
    due = [task for task in state.delayed if task.not_before_ms <= now_ms]
    if not due:
        return
    state.delayed = [task for task in state.delayed if task.not_before_ms > now_ms]
    for task in due:
        if not task.is_final():
            state.queue.push(task, now_ms, front=True)


def dispatch_one(state: EntryState, now_ms: int) -> bool:
    """Send or expire the head of the first team that can be served."""
    for team in state.queue.order():
        task = state.queue.teams[team][0]
        if expire_if_hopeless(state, task, now_ms):
            state.queue.remove_head(team)
            return True
        if state.queue.running.get(team, 0) >= team_limit(state, team, now_ms):
            continue
        member = pick(state, task, now_ms)
        if member is None:
            continue
        state.queue.remove_head(team)
        send_task(state, task, member, now_ms)
        return True
    return False


def ask_for_credits(state: EntryState, now_ms: int) -> None:
    """Tell the fastest agents that tasks wait, each at most once per TTL."""
    policy = state.policy
    oldest_ms = now_ms - state.queue.oldest_queued_at_ms()
    if oldest_ms < policy.demand_after_ms:
        return
    due = [
        member
        for member in state.members.values()
        if member.linked
        and member.state == "active"
        and member.health.allows(now_ms)
        and now_ms - member.demand_sent_ms >= policy.demand_ttl_ms
    ]
    asked = len(state.members) - len(due)
    room = policy.demand_fanout - asked
    if room <= 0 or not due:
        return
    due.sort(key=lambda member: (member.demand_sent_ms, member.factor.value))
    message = wire.Demand(waiting_units(state), max(0, oldest_ms))
    for member in due[:room]:
        member.demand_sent_ms = now_ms
        state.counters["demands"] += 1
        state.effects.append(Send(member.name, message))


def waiting_units(state: EntryState) -> int:
    """Return the units to ask for, at least those the heads of queues need."""
    heads = [max(1, team[0].task.processors) for team in state.queue.teams.values()]
    return max(state.queue.waiting, *heads)
