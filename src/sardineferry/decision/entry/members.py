"""Tracks agents: announcements, silence, loss and return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.cost import task_units
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

LOST_RETENTION_MS = 60_000
REMOTE_EXTRA_ROUND_TRIP_MS = 3.0
MASS_SILENCE_SHARE = 0.5
IDLE_BEFORE_DECAY_MS = 5_000
FACTOR_DECAY_SHARE = 0.01
MASS_SILENCE_MIN_AGENTS = 3
MASS_SILENCE_TIMEOUT_FACTOR = 4


def receive_announcement(state: EntryState, event: wire.Announce, now_ms: int) -> None:
    """Welcome an agent; one that restarted has lost what it was running."""
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
    member.factor = earlier.factor
    if earlier.incarnation != event.incarnation:
        for task in list(earlier.in_flight.values()):
            results.lose_attempt(state, task, event.agent, "agent restarted", now_ms)
        return
    member.health = earlier.health
    repeat_in_flight(state, member, earlier, now_ms)


def repeat_in_flight(
    state: EntryState, member: Member, earlier: Member, now_ms: int
) -> None:
    """Repeat what is in flight; the start table answers what it knows."""
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
    """Note a sign of life; a lost agent that is heard again is back."""
    member.last_heard_ms = now_ms
    if member.state == "suspect":
        member.advance("hear")
        sort_members_by_speed(state)
    if member.state == "lost":
        revived = Member(
            member.name, member.incarnation, member.data_centre, member.shape, now_ms
        )
        revived.factor = member.factor
        revived.health = member.health
        revived.extra_round_trip_ms = member.extra_round_trip_ms
        state.members[member.name] = revived
        sort_members_by_speed(state)
        repeat_in_flight(state, revived, member, now_ms)


def mark_leaving(state: EntryState, member: Member) -> None:
    """Send nothing more to an agent that is leaving."""
    if member.state == "lost":
        return
    member.advance("leave")
    sort_members_by_speed(state)


def mark_disconnected(state: EntryState, member: Member) -> None:
    """Note that the link closed; what is in flight is uncertain."""
    member.linked = False
    sort_members_by_speed(state)
    if member.state != "lost":
        member.advance("disconnect")
    for task in member.in_flight.values():
        if task.state == "sent":
            task.may_have_run = True
            task.advance("disconnect")


def check_silence(state: EntryState, now_ms: int) -> None:
    """Suspect silent agents, and drop those whose lease has lapsed.

    When most agents fall silent together this entry is more likely cut off
    itself: it then waits longer before it drops them.
    """
    policy = state.policy
    for member in state.members.values():
        silent_ms = now_ms - member.last_heard_ms
        decay_run_time_factor(member, now_ms)
        if member.state == "active" and silent_ms > policy.suspect_ms:
            member.advance("silence")
    silent = [
        member
        for member in state.members.values()
        if member.state != "lost" and now_ms - member.last_heard_ms > policy.lapse_ms
    ]
    present = [item for item in state.members.values() if item.state != "lost"]
    mass = len(silent) >= MASS_SILENCE_MIN_AGENTS and len(
        silent
    ) > MASS_SILENCE_SHARE * len(present)
    patience_ms = policy.lapse_ms * (MASS_SILENCE_TIMEOUT_FACTOR if mass else 1)
    for member in silent:
        if now_ms - member.last_heard_ms > patience_ms:
            mark_lost(state, member, now_ms)
    remove_lost(state, now_ms)


def decay_run_time_factor(member: Member, now_ms: int) -> None:
    """Drift back to the mean speed while a target has no tasks to learn from."""
    if now_ms - member.last_result_ms > IDLE_BEFORE_DECAY_MS and not member.in_flight:
        member.factor.value += FACTOR_DECAY_SHARE * (1.0 - member.factor.value)


def mark_lost(state: EntryState, member: Member, now_ms: int) -> None:
    """Retry idempotent tasks of a lost agent; keep waiting for the others."""
    member.advance("lapse")
    sort_members_by_speed(state)
    state.counters["members_lost"] += 1
    for task in list(member.in_flight.values()):
        if task.spec.idempotent:
            results.lose_attempt(state, task, member.name, "agent lost", now_ms)


def remove_lost(state: EntryState, now_ms: int) -> None:
    """Remove agents that were lost long ago."""
    gone = [
        member.name
        for member in state.members.values()
        if member.state == "lost"
        and not member.in_flight
        and now_ms - member.last_heard_ms > LOST_RETENTION_MS
    ]
    for name in gone:
        del state.members[name]
