"""Event handlers for messages from agents."""

from __future__ import annotations

from sardineferry.decision.effects import Send
from sardineferry.decision.entry import agents
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry import results
from sardineferry.decision.entry.event_dispatch import handle_event
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.state import EntryState
from sardineferry.messages import wire

__all__ = [
    "on_announce",
    "on_done",
    "on_heartbeat",
    "on_leaving",
    "on_refused",
    "on_report",
]


@handle_event.register
def on_announce(
    event: wire.Announce, state: EntryState, sender: str, now_ms: int
) -> None:
    """Register an agent, then send waiting tasks to agents with free units.

    If the agent was restarted, its attempts in flight are lost. Otherwise their
    start messages are sent again; the agent recognises the attempts that it has.
    """
    agents.receive_announcement(state, event, now_ms)
    dispatch(state, now_ms)


@handle_event.register
def on_heartbeat(
    event: wire.Heartbeat, state: EntryState, sender: str, now_ms: int
) -> None:
    """Record a heartbeat and the load in it; echo it to renew the agent's lease."""
    view = state.agents.get(sender)
    if view is None:
        return
    agents.record_heartbeat(state, view, now_ms)
    state.agents[sender].record_load(event.load, now_ms)
    state.effects.append(Send(sender, wire.LeaseEcho(event.sent_at_ms)))


@handle_event.register
def on_done(event: wire.Done, state: EntryState, sender: str, now_ms: int) -> None:
    """Apply the result of an attempt."""
    view = state.agents.get(sender)
    if view is None:
        return
    view.last_heard_at_ms = now_ms
    results.receive_done(state, view, event, now_ms)


@handle_event.register
def on_refused(
    event: wire.Refused, state: EntryState, sender: str, now_ms: int
) -> None:
    """Queue a refused task again, to be sent to another agent."""
    view = state.agents.get(sender)
    if view is None:
        return
    view.last_heard_at_ms = now_ms
    results.receive_refusal(state, view, event, now_ms)


@handle_event.register
def on_leaving(
    event: wire.Leaving, state: EntryState, sender: str, now_ms: int
) -> None:
    """Mark an agent as leaving."""
    view = state.agents.get(sender)
    if view is not None:
        agents.mark_leaving(state, view)


@handle_event.register
def on_report(event: wire.Report, state: EntryState, sender: str, now_ms: int) -> None:
    """Collect an agent's report for a job under recovery.

    Reports for another epoch are ignored.
    """
    view = state.agents.get(sender)
    job = state.live_jobs.get(event.submission)
    if view is None or job is None or not job.recovery_deadline_ms:
        return
    if event.epoch != job.epoch:
        return
    recovery.record_report(job, view, event)
    if recovery.all_agents_reported(job):
        recovery.finish_recovery(state, job, now_ms)
        dispatch(state, now_ms)
