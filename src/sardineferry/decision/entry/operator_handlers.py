"""Event handlers for requests of operators."""

from __future__ import annotations

from sardineferry.decision import events
from sardineferry.decision.effects import DumpAnswer
from sardineferry.decision.effects import Send
from sardineferry.decision.entry import presets
from sardineferry.decision.entry.broadcast import broadcast
from sardineferry.decision.entry.event_dispatch import handle_event
from sardineferry.decision.entry.state import EntryState
from sardineferry.messages import wire

__all__ = [
    "on_drain",
    "on_drain_agent",
    "on_dump_agent",
    "on_dump_reply",
    "on_set_preset",
]


@handle_event.register
def on_set_preset(
    event: events.SetPreset, state: EntryState, sender: str, now_ms: int
) -> None:
    """Request a change of the preset."""
    presets.request_change(state, event, now_ms)


@handle_event.register
def on_drain(event: events.Drain, state: EntryState, sender: str, now_ms: int) -> None:
    """Start to drain: refuse new submissions and finish the open jobs."""
    state.leaving = True
    broadcast(state, wire.EntryLeaving(state.name))


def is_linked(state: EntryState, agent: str) -> bool:
    """Return whether an agent of that name is linked here."""
    view = state.agents.get(agent)
    return view is not None and view.linked


@handle_event.register
def on_dump_agent(
    event: events.DumpAgent, state: EntryState, sender: str, now_ms: int
) -> None:
    """Ask an agent for its state; the answer is empty if it is not linked."""
    if not is_linked(state, event.agent):
        state.effects.append(DumpAnswer(event.token, ""))
        return
    state.dump_tokens.add(event.token)
    state.effects.append(Send(event.agent, wire.DumpRequest(event.token)))


@handle_event.register
def on_dump_reply(
    event: wire.DumpReply, state: EntryState, sender: str, now_ms: int
) -> None:
    """Pass an agent's state on to the operator who asked for it."""
    if event.token in state.dump_tokens:
        state.dump_tokens.discard(event.token)
        state.effects.append(DumpAnswer(event.token, event.text))


@handle_event.register
def on_drain_agent(
    event: events.DrainAgent, state: EntryState, sender: str, now_ms: int
) -> None:
    """Ask an agent to drain; the answer is empty if it is not linked."""
    if not is_linked(state, event.agent):
        state.effects.append(DumpAnswer(event.token, ""))
        return
    state.effects.append(Send(event.agent, wire.DrainRequest("operator")))
    state.effects.append(DumpAnswer(event.token, '{"drained":true}'))
