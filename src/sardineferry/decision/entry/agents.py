"""Tracks agents: announcements, heartbeats, silence, loss and return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.effects import Send
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry import results
from sardineferry.decision.entry.peers import send_welcome
from sardineferry.decision.entry.routing import build_start_message
from sardineferry.decision.entry.routing import sort_agents_by_speed
from sardineferry.decision.entry.state import AgentView

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
# ``MASS_SILENCE_MIN_AGENTS``, are silent at once.
MASS_SILENCE_SHARE = 0.5
MASS_SILENCE_MIN_AGENTS = 3
# Factor by which ``lost_after_ms`` is longer during mass silence.
MASS_SILENCE_TIMEOUT_FACTOR = 4
# The run-time factor of a target without results for so long moves towards 1.0,
# by ``FACTOR_DECAY_SHARE`` of the difference in each check. The speed of this thus
# depends on the interval of the checks (``timers.AGENT_CHECK_INTERVAL_MS``).
IDLE_BEFORE_DECAY_MS = 5_000
FACTOR_DECAY_SHARE = 0.01


def receive_announcement(state: EntryState, event: wire.Announce, now_ms: int) -> None:
    """Register an agent and welcome it.

    A restarted agent has lost its tasks, while one that only reconnected is
    sent the start messages of its attempts again.
    """
    earlier = state.agents.get(event.agent)
    view = AgentView(
        event.agent, event.incarnation, event.data_centre, event.shape, now_ms
    )
    if event.data_centre != state.data_centre:
        view.extra_round_trip_ms = REMOTE_EXTRA_ROUND_TRIP_MS
    state.agents[event.agent] = view
    sort_agents_by_speed(state)
    send_welcome(state, view)
    if earlier is None:
        return
    view.run_time_factor = earlier.run_time_factor
    if earlier.incarnation != event.incarnation:
        for task in list(earlier.in_flight.values()):
            results.lose_attempt(state, task, event.agent, "agent restarted", now_ms)
        return
    view.health = earlier.health
    repeat_in_flight(state, view, earlier, now_ms)


def repeat_in_flight(
    state: EntryState, view: AgentView, earlier: AgentView, now_ms: int
) -> None:
    """Send an agent that is back the start messages of its attempts in flight again.

    The agent looks the attempts up in its start table, so that it starts none twice.
    """
    for key, task in earlier.in_flight.items():
        view.in_flight[key] = task
        view.own_units += task_units(task.spec, view.shape)
        if task.state == "uncertain":
            task.advance("send")
        message = build_start_message(task, view, now_ms)
        state.counters["repeats"] += 1
        state.effects.append(Send(view.name, message))
    for job in state.live_jobs.values():
        if job.recovery_deadline_ms:
            recovery.ask_agent(state, job, view)


def record_heartbeat(state: EntryState, view: AgentView, now_ms: int) -> None:
    """Record a heartbeat, which makes a suspect or lost agent active again."""
    view.last_heard_at_ms = now_ms
    if view.state == "suspect":
        view.advance("hear")
        sort_agents_by_speed(state)
    if view.state == "lost":
        revived = AgentView(
            view.name, view.incarnation, view.data_centre, view.shape, now_ms
        )
        revived.run_time_factor = view.run_time_factor
        revived.health = view.health
        revived.extra_round_trip_ms = view.extra_round_trip_ms
        state.agents[view.name] = revived
        sort_agents_by_speed(state)
        repeat_in_flight(state, revived, view, now_ms)


def mark_leaving(state: EntryState, view: AgentView) -> None:
    """Mark an agent as leaving; it gets no more tasks."""
    if view.state == "lost":
        return
    view.advance("leave")
    sort_agents_by_speed(state)


def mark_disconnected(state: EntryState, view: AgentView) -> None:
    """Mark an agent as not linked; its attempts in flight may or may not have run."""
    view.linked = False
    sort_agents_by_speed(state)
    if view.state != "lost":
        view.advance("disconnect")
    for task in view.in_flight.values():
        if task.state == "sent":
            task.may_have_run = True
            task.advance("disconnect")


def check_silence(state: EntryState, now_ms: int) -> None:
    """Mark silent agents as suspect, and as lost once their lease has lapsed.

    When most agents are silent at once, this entry itself is probably cut off
    from the network; it then waits longer before it takes them for lost.
    """
    policy = state.policy
    for view in state.agents.values():
        silent_ms = now_ms - view.last_heard_at_ms
        decay_run_time_factor(view, now_ms)
        if view.state == "active" and silent_ms > policy.suspect_after_ms:
            view.advance("silence")
    silent = [
        view
        for view in state.agents.values()
        if view.state != "lost"
        and now_ms - view.last_heard_at_ms > policy.lost_after_ms
    ]
    present = [item for item in state.agents.values() if item.state != "lost"]
    mass_silence = len(silent) >= MASS_SILENCE_MIN_AGENTS and len(
        silent
    ) > MASS_SILENCE_SHARE * len(present)
    timeout_ms = policy.lost_after_ms * (
        MASS_SILENCE_TIMEOUT_FACTOR if mass_silence else 1
    )
    for view in silent:
        if now_ms - view.last_heard_at_ms > timeout_ms:
            mark_lost(state, view, now_ms)
    remove_lost(state, now_ms)


def decay_run_time_factor(view: AgentView, now_ms: int) -> None:
    """Move the run-time factor towards 1.0, the mean, while a target is idle.

    Without tasks there are no run times from which it could be learned.
    """
    if now_ms - view.last_result_at_ms > IDLE_BEFORE_DECAY_MS and not view.in_flight:
        view.run_time_factor.value += FACTOR_DECAY_SHARE * (
            1.0 - view.run_time_factor.value
        )


def mark_lost(state: EntryState, view: AgentView, now_ms: int) -> None:
    """Mark an agent as lost and retry its idempotent tasks.

    Other tasks are still tracked, in case the agent returns with their results.
    """
    view.advance("lapse")
    sort_agents_by_speed(state)
    state.counters["members_lost"] += 1
    for task in list(view.in_flight.values()):
        if task.spec.idempotent:
            results.lose_attempt(state, task, view.name, "agent lost", now_ms)


def remove_lost(state: EntryState, now_ms: int) -> None:
    """Remove agents that have been lost for long and have nothing in flight."""
    gone = [
        view.name
        for view in state.agents.values()
        if view.state == "lost"
        and not view.in_flight
        and now_ms - view.last_heard_at_ms > LOST_RETENTION_MS
    ]
    for name in gone:
        del state.agents[name]
