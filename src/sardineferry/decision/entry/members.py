"""Tracks agents: announcements, heartbeats, silence, loss and return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import Send
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry import results
from sardineferry.decision.entry.peers import send_welcome
from sardineferry.decision.entry.routing import sort_members_by_speed
from sardineferry.decision.entry.routing import start_message
from sardineferry.decision.entry.state import Member

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages import wire

__all__ = [
    "check_silence",
    "mark_disconnected",
    "mark_leaving",
    "receive_announcement",
    "record_heartbeat",
]

# Time since its last message after which a lost agent is removed.
LOST_RETENTION_MS = 60_000
# Extra round trip to an agent in another data centre.
REMOTE_EXTRA_ROUND_TRIP_MS = 3.0
# Mass silence is when more than this share of the agents, and at least
# ``MASS_MIN_AGENTS``, are silent at once.
MASS_SHARE = 0.5
MASS_MIN_AGENTS = 3
# Factor by which ``lost_after_ms`` is longer during mass silence.
MASS_TIMEOUT_FACTOR = 4
# The run-time factor of a target without results for so long moves towards 1.0,
# by ``FACTOR_DECAY_SHARE`` of the difference in each check.
IDLE_BEFORE_DECAY_MS = 5_000
FACTOR_DECAY_SHARE = 0.01


def receive_announcement(state: EntryState, event: wire.Announce, now_ms: int) -> None:
    """Register an agent and welcome it.

    A restarted agent has lost its tasks, while one that only reconnected is
    sent its attempts again.
    """
    earlier = state.members.get(event.agent)
    member = Member(
        event.agent, event.incarnation, event.data_centre, event.shape, now_ms
    )
    if event.data_centre != state.data_centre:
        member.extra_round_trip_ms = REMOTE_EXTRA_ROUND_TRIP_MS
    state.members[event.agent] = member
    sort_members_by_speed(state)
    send_welcome(state, member)
    if earlier is None:
        return
    member.run_time_factor = earlier.run_time_factor
    if earlier.incarnation != event.incarnation:
        for task in list(earlier.in_flight.values()):
            results.lose_attempt(state, task, event.agent, "agent restarted", now_ms)
        return
    member.health = earlier.health
    repeat_in_flight(state, member, earlier, now_ms)


def repeat_in_flight(
    state: EntryState, member: Member, earlier: Member, now_ms: int
) -> None:
    """Send the attempts in flight again to an agent that is back.

    The agent looks them up in its start table, so that it starts none twice.
    """
    for key, task in earlier.in_flight.items():
        member.in_flight[key] = task
        member.own_units += task_units(task.spec, member.shape)
        if task.state == "uncertain":
            task.advance("send")
        message = start_message(task, member, now_ms)
        state.counters["repeats"] += 1
        state.effects.append(Send(member.name, message))
    for job in state.live_jobs.values():
        if job.recovery_deadline_ms:
            recovery.ask_agent(state, job, member)


def record_heartbeat(state: EntryState, member: Member, now_ms: int) -> None:
    """Record a heartbeat; an agent that was suspect or lost is active again."""
    member.last_heard_at_ms = now_ms
    if member.state == "suspect":
        member.advance("hear")
        sort_members_by_speed(state)
    if member.state == "lost":
        revived = Member(
            member.name, member.incarnation, member.data_centre, member.shape, now_ms
        )
        revived.run_time_factor = member.run_time_factor
        revived.health = member.health
        revived.extra_round_trip_ms = member.extra_round_trip_ms
        state.members[member.name] = revived
        sort_members_by_speed(state)
        repeat_in_flight(state, revived, member, now_ms)


def mark_leaving(state: EntryState, member: Member) -> None:
    """Mark an agent as leaving; it gets no more tasks."""
    if member.state == "lost":
        return
    member.advance("leave")
    sort_members_by_speed(state)


def mark_disconnected(state: EntryState, member: Member) -> None:
    """Mark an agent as not linked; its attempts in flight may or may not have run."""
    member.linked = False
    sort_members_by_speed(state)
    if member.state != "lost":
        member.advance("disconnect")
    for task in member.in_flight.values():
        if task.state == "sent":
            task.may_have_run = True
            task.advance("disconnect")


def check_silence(state: EntryState, now_ms: int) -> None:
    """Mark silent agents as suspect, and as lost once their lease has lapsed.

    When most agents are silent at once, this entry itself is more likely cut
    off from the network; it then waits longer before it takes them for lost.
    """
    policy = state.policy
    for member in state.members.values():
        silent_ms = now_ms - member.last_heard_at_ms
        decay_run_time_factor(member, now_ms)
        if member.state == "active" and silent_ms > policy.suspect_after_ms:
            member.advance("silence")
    silent = [
        member
        for member in state.members.values()
        if member.state != "lost"
        and now_ms - member.last_heard_at_ms > policy.lost_after_ms
    ]
    present = [item for item in state.members.values() if item.state != "lost"]
    mass = len(silent) >= MASS_MIN_AGENTS and len(silent) > MASS_SHARE * len(present)
    timeout_ms = policy.lost_after_ms * (MASS_TIMEOUT_FACTOR if mass else 1)
    for member in silent:
        if now_ms - member.last_heard_at_ms > timeout_ms:
            mark_lost(state, member, now_ms)
    remove_lost(state, now_ms)


def decay_run_time_factor(member: Member, now_ms: int) -> None:
    """Move the run-time factor towards 1.0, the mean, while a target is idle.

    Without tasks there are no run times from which it could be learned.
    """
    if (
        now_ms - member.last_result_at_ms > IDLE_BEFORE_DECAY_MS
        and not member.in_flight
    ):
        member.run_time_factor.value += FACTOR_DECAY_SHARE * (
            1.0 - member.run_time_factor.value
        )


def mark_lost(state: EntryState, member: Member, now_ms: int) -> None:
    """Mark an agent as lost and retry its idempotent tasks.

    Other tasks are still tracked, in case the agent returns with their results.
    """
    member.advance("lapse")
    sort_members_by_speed(state)
    state.counters["members_lost"] += 1
    for task in list(member.in_flight.values()):
        if task.spec.idempotent:
            results.lose_attempt(state, task, member.name, "agent lost", now_ms)


def remove_lost(state: EntryState, now_ms: int) -> None:
    """Remove agents that have been lost for long and have nothing in flight."""
    gone = [
        member.name
        for member in state.members.values()
        if member.state == "lost"
        and not member.in_flight
        and now_ms - member.last_heard_at_ms > LOST_RETENTION_MS
    ]
    for name in gone:
        del state.members[name]
