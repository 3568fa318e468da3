"""Tracks the other entries (peers) and exchanges digests with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import Connect
from sardineferry.decision.effects import Disconnect
from sardineferry.decision.effects import Send
from sardineferry.decision.entry import presets
from sardineferry.decision.entry.state import Peer
from sardineferry.decision.preset import Preset
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import AgentView
    from sardineferry.decision.entry.state import EntryState

__all__ = [
    "build_hello",
    "clear_link",
    "receive_digest",
    "receive_hello",
    "remove_silent_peers",
    "send_digests",
    "send_welcome",
]

# Largest number of other entries named in a welcome.
WELCOME_PEER_LIMIT = 5
# Time since its last message after which a peer without a link is removed.
SILENT_PEER_RETENTION_MS = 60_000


def build_hello(state: EntryState) -> wire.PeerHello:
    """Return the message that introduces this entry to a peer."""
    return wire.PeerHello(
        state.name,
        state.incarnation,
        state.address,
        state.data_centre,
        state.preset.name,
        state.preset.version,
    )


def receive_hello(
    state: EntryState, event: wire.PeerHello, sender: str, dialled: bool, now_ms: int
) -> None:
    """Register a peer by its hello.

    ``dialled`` is true if this entry dialled the link; messages to the peer use
    such links only. On any other link this entry answers with its own
    hello, and dials the peer unless it has a link to it.
    """
    if event.entry == state.name:
        return
    is_new = event.entry not in state.peers
    peer = state.peers.setdefault(event.entry, Peer(event.entry, now_ms))
    peer.incarnation = event.incarnation
    peer.address = event.address
    peer.data_centre = event.data_centre
    peer.last_heard_at_ms = now_ms
    peer.leaving = False
    presets.adopt(state, Preset(event.preset_version, event.preset_name), now_ms)
    if is_new:
        welcome_agents(state)
    if dialled:
        peer.link = sender
        return
    state.effects.append(Send(sender, build_hello(state)))
    if not peer.link:
        state.effects.append(Connect(peer.address))


def welcome_agents(state: EntryState) -> None:
    """Welcome all linked agents again, as the addresses of entries have changed."""
    for view in state.agents.values():
        if view.linked and view.state != "lost":
            send_welcome(state, view)


def send_welcome(state: EntryState, view: AgentView) -> None:
    """Send an agent the preset and the addresses of entries.

    These are this entry and some peers, first those in the agent's data centre.
    """
    peers = sorted(
        (peer for peer in state.peers.values() if peer.address),
        key=lambda peer: (peer.data_centre != view.data_centre, peer.address),
    )
    addresses = [peer.address for peer in peers[:WELCOME_PEER_LIMIT]]
    message = wire.Welcome(
        state.name,
        state.incarnation,
        (state.address, *addresses),
        state.preset.name,
        state.preset.version,
    )
    state.effects.append(Send(view.name, message))


def remove_silent_peers(state: EntryState, now_ms: int) -> None:
    """Remove peers without a link that have been silent for long.

    They are no longer dialled either, as their instances are assumed to be gone.
    """
    gone = [
        peer
        for peer in state.peers.values()
        if not peer.link and now_ms - peer.last_heard_at_ms > SILENT_PEER_RETENTION_MS
    ]
    for peer in gone:
        del state.peers[peer.name]
        state.effects.append(Disconnect(peer.address))


def clear_link(state: EntryState, link: str) -> None:
    """Mark the peer that used this link as not linked."""
    for peer in state.peers.values():
        if peer.link == link:
            peer.link = ""


def send_digests(state: EntryState) -> None:
    """Send peers the number of running attempts by team.

    This also serves as a heartbeat.
    """
    digest = wire.PeerDigest(state.name, dict(state.queue.running_by_team))
    for peer in state.peers.values():
        if peer.link:
            state.effects.append(Send(peer.link, digest))


def receive_digest(state: EntryState, event: wire.PeerDigest, now_ms: int) -> None:
    """Keep the number of running attempts by team that a peer reported."""
    peer = state.peers.get(event.entry)
    if peer is None:
        return
    peer.last_heard_at_ms = now_ms
    peer.running_by_team = event.running
