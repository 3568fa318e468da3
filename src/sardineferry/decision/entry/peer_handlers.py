"""Event handlers for opened and closed links and for messages of other entries."""

from __future__ import annotations

from sardineferry.decision import events
from sardineferry.decision.effects import Send
from sardineferry.decision.entry import admission
from sardineferry.decision.entry import agents
from sardineferry.decision.entry import ownership
from sardineferry.decision.entry import peers
from sardineferry.decision.entry import presets
from sardineferry.decision.entry import timers
from sardineferry.decision.entry.event_dispatch import handle_event
from sardineferry.decision.entry.jobs import Waiter
from sardineferry.decision.entry.state import EntryState
from sardineferry.decision.preset import Preset
from sardineferry.messages import wire

__all__ = [
    "on_entry_leaving",
    "on_forward",
    "on_forwarded",
    "on_link_down",
    "on_link_up",
    "on_peer_digest",
    "on_peer_hello",
    "on_preset_notice",
]


@handle_event.register
def on_link_up(
    event: events.LinkUp, state: EntryState, sender: str, now_ms: int
) -> None:
    """Introduce this entry over a link that it dialled."""
    state.dialled_links.add(event.name)
    state.effects.append(Send(event.name, peers.build_hello(state)))


@handle_event.register
def on_send_rejected(
    event: events.SendRejected, state: EntryState, sender: str, now_ms: int
) -> None:
    """Count a message that was not sent; deadlines end what depends on it."""
    state.counters["messages_rejected"] += 1


@handle_event.register
def on_link_down(
    event: events.LinkDown, state: EntryState, sender: str, now_ms: int
) -> None:
    """Mark the agent or peer at the other end of a closed link as not linked."""
    state.dialled_links.discard(event.name)
    view = state.agents.get(event.name)
    if view is not None:
        agents.mark_disconnected(state, view)
    peers.clear_link(state, event.name)


@handle_event.register
def on_peer_hello(
    event: wire.PeerHello, state: EntryState, sender: str, now_ms: int
) -> None:
    """Register a peer, and forward the jobs that wait for a link to it."""
    peers.receive_hello(state, event, sender, sender in state.dialled_links, now_ms)
    timers.forward_or_take_over_jobs(state, now_ms)


@handle_event.register
def on_peer_digest(
    event: wire.PeerDigest, state: EntryState, sender: str, now_ms: int
) -> None:
    """Keep the number of running attempts by team that a peer reported."""
    peers.receive_digest(state, event, now_ms)


@handle_event.register
def on_entry_leaving(
    event: wire.EntryLeaving, state: EntryState, sender: str, now_ms: int
) -> None:
    """Mark a peer as leaving."""
    peer = state.peers.get(event.entry)
    if peer is not None:
        peer.leaving = True


@handle_event.register
def on_preset_notice(
    event: wire.PresetNotice, state: EntryState, sender: str, now_ms: int
) -> None:
    """Adopt a newer preset that a peer announces."""
    presets.adopt(state, Preset(event.version, event.name), now_ms)


@handle_event.register
def on_forward(
    event: wire.Forward, state: EntryState, sender: str, now_ms: int
) -> None:
    """Submit a job that a peer forwarded."""
    admission.submit(state, event.job, Waiter(event.token, sender), now_ms)


@handle_event.register
def on_forwarded(
    event: wire.Forwarded, state: EntryState, sender: str, now_ms: int
) -> None:
    """Answer the waiters of a forwarded job with the owner's answer."""
    ownership.receive_answer(state, event, now_ms)
