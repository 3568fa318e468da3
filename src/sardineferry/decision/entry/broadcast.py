"""Sends a message to all agents and entries that are linked here."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import Send

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.messages.wire import WireMessage

__all__ = ["broadcast"]


def broadcast(state: EntryState, message: WireMessage) -> None:
    """Send a message to every linked agent, then to every linked peer."""
    state.effects.extend(
        Send(view.name, message) for view in state.agents.values() if view.linked
    )
    state.effects.extend(
        Send(peer.link, message) for peer in state.peers.values() if peer.link
    )
