"""Event handlers of the agent for its entries: links, heartbeats, room updates.

Room is what is free on the worker: processors, memory and accelerators.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import agent_membership
from sardineferry.decision.burst import agent_runs
from sardineferry.decision.burst import agent_worker
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_rules import handle_agent_event
from sardineferry.decision.burst.agent_state import EntryPeer
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.common_effects import Send
from sardineferry.decision.common_events import Drain
from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.messages.burst import AgentBeat
from sardineferry.messages.burst import ConfigOffer
from sardineferry.messages.burst import ConfigRequest
from sardineferry.messages.burst import ConfigText
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import EntryLeft
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import HeldRuns
from sardineferry.messages.burst import WatchRoom
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.burst import WorkerProfile
from sardineferry.messages.burst import WorkerRoom

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.messages.burst import Resources

__all__ = [
    "beat_due_times",
    "check_entries",
    "push_room",
    "send_due_beats",
    "send_profile",
]

# Least time between two room updates to an entry that watches the room. If an
# entry places by outdated room, its order is refused, which costs it a round
# trip of about 3 ms.
ROOM_PUSH_INTERVAL_MS = 4
# The interval is at least this times the entries that watch the room, so that
# the updates that an entry gets from all agents do not grow with their number.
ROOM_PUSH_INTERVAL_PER_ENTRY_MS = 3
# Least time between updates to an entry that has no work for this worker: the
# first value, or the second times the linked entries if that is more. An entry
# that gets work asks for updates at once. With 35 entries and 160 workers, each
# linked to 11 entries, an entry reads about 70 such updates a second.
IDLE_ROOM_PUSH_INTERVAL_MS = 300
IDLE_ROOM_PUSH_INTERVAL_PER_ENTRY_MS = 50
# Decimals of the speed in an update, which is a logarithm: two decimals are 1%
# of a run time.
SPEED_DECIMALS = 2
# Idle entries in other data centres get updates this many times more rarely:
# traffic between data centres is expensive, and entries prefer near workers.
REMOTE_INTERVAL_FACTOR = 2
# Ends up to this age are sent again on a new link. An entry has given up the
# runs of an agent that was unreachable for longer.
ENDS_RESEND_WINDOW_MS = 10_000


@handle_agent_event.register(LinkUp)
def on_link_up(
    event: LinkUp, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Announce the agent; the entry answers with its name."""
    agent_membership.record_link(state, event.name, True, now_ms)
    announce = WorkerAnnounce(state.name, state.incarnation, state.data_centre)
    state.effects.append(Send(event.name, announce))


@handle_agent_event.register(LinkDown)
def on_link_down(
    event: LinkDown, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Mark the entry as unlinked, but keep its runs: it may reconnect in time."""
    agent_membership.record_link(state, event.name, False, now_ms)
    name = state.entry_by_link.pop(event.name, None)
    peer = state.peers.get(name) if name else None
    if peer is None or peer.link != event.name:
        return
    peer.linked = False
    log_link(state, "link lost", peer, now_ms)


@handle_agent_event.register(EntryWelcome)
def on_welcome(
    event: EntryWelcome, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Register an entry that is new, has reconnected or has restarted."""
    peer = state.peers.get(event.entry)
    if peer is not None and peer.incarnation != event.incarnation:
        for run in state.runs_of(peer.name):
            agent_runs.begin_stop(state, run, "entry restarted")
        peer = None
    if peer is None:
        same_data_centre = event.data_centre == state.data_centre
        peer = EntryPeer(
            event.entry, event.incarnation, sender, same_data_centre, now_ms
        )
        state.peers[event.entry] = peer
    peer.link = sender
    peer.linked = True
    peer.last_heard_ms = now_ms
    peer.room_sent = None
    state.entry_by_link[sender] = peer.name
    if event.profile is not None:
        agent_worker.adopt_profile(state, event.profile)
    agent_membership.record_welcome(state, event, sender, now_ms)
    send_current_state(state, peer, now_ms)
    log_link(state, "link established", peer, now_ms)


def send_current_state(state: BurstAgentState, peer: EntryPeer, now_ms: int) -> None:
    """Send an entry all that it may have missed without a link."""
    held = [run.ref for run in state.runs_of(peer.name)]
    messages: list[object] = [
        *(
            ended
            for ended_ms, ended in peer.ends
            if now_ms - ended_ms <= ENDS_RESEND_WINDOW_MS
        ),
        HeldRuns(tuple(held), peer.last_order),
        AgentBeat(now_ms),
    ]
    state.effects.extend(Send(peer.link, message) for message in messages)
    send_profile(state, peer)
    send_room(state, peer, now_ms)
    state.effects.extend(state.config.offers([peer.link]))


@handle_agent_event.register(EntryBeat)
def on_entry_beat(
    event: EntryBeat, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Extend the time for which the entry's runs may go on.

    The time counts from the echoed stamp, not from the arrival of its echo.
    """
    peer = peer_of_link(state, sender)
    if peer is None:
        return
    peer.last_heard_ms = now_ms
    alive_until_ms = event.echo_ms + timing.SILENCE_LIMIT_MS
    peer.alive_until_ms = max(peer.alive_until_ms, alive_until_ms)


@handle_agent_event.register(WatchRoom)
def on_watch_room(
    _event: WatchRoom, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Send room updates often for a while, as the entry has jobs waiting."""
    peer = peer_of_link(state, sender)
    if peer is not None:
        peer.watching_until_ms = now_ms + timing.ROOM_WATCH_MS
        state.room_changed = True


@handle_agent_event.register(EntryLeft)
def on_entry_left(
    event: EntryLeft, state: BurstAgentState, _sender: str, _now_ms: int
) -> None:
    """Log that an entry shuts down; its link closes soon."""
    state.effects.append(LogDecision("entry left", {"entry": event.entry}))


@handle_agent_event.register(ConfigOffer)
def on_config_offer(
    event: ConfigOffer, state: BurstAgentState, sender: str, _now_ms: int
) -> None:
    """Request a newer configuration, or offer our newer one."""
    state.effects.extend(state.config.answer_offer(sender, event.version))


@handle_agent_event.register(ConfigRequest)
def on_config_request(
    _event: ConfigRequest, state: BurstAgentState, sender: str, _now_ms: int
) -> None:
    """Send our configuration."""
    state.effects.extend(state.config.answer_request(sender))


@handle_agent_event.register(ConfigText)
def on_config_text(
    event: ConfigText, state: BurstAgentState, sender: str, _now_ms: int
) -> None:
    """Keep a newer configuration and offer it to the other entries."""
    if state.config.adopt(event.version, event.text):
        state.effects.extend(state.config.offers(state.entry_by_link, sender))


@handle_agent_event.register(Drain)
def on_drain(event: Drain, state: BurstAgentState, _sender: str, now_ms: int) -> None:
    """Accept no more runs; those at the worker may finish within the grace."""
    if state.leaving_ms is None:
        state.leaving_ms = now_ms
        state.room_changed = True
        fields: dict[str, object] = {"runs": len(state.runs), "reason": event.reason}
        state.effects.append(LogDecision("draining", fields))


def peer_of_link(state: BurstAgentState, link: str) -> EntryPeer | None:
    """Return the entry at the other end of a link."""
    name = state.entry_by_link.get(link)
    return state.peers.get(name) if name else None


def send_profile(state: BurstAgentState, peer: EntryPeer) -> None:
    """Send an entry the worker's profile, if it is known."""
    if state.total is not None:
        worker = state.worker
        profile = WorkerProfile(
            state.service,
            state.total,
            state.labels,
            worker.report.born_ms if worker is not None else 0,
            worker is not None and worker.report.draining,
        )
        state.effects.append(Send(peer.link, profile))


def send_room(state: BurstAgentState, peer: EntryPeer, now_ms: int) -> None:
    """Send an entry the worker's room and its learned speed."""
    peer.room_sent = room_for(state, peer)
    peer.room_sent_ms = now_ms
    peer.last_stamp_sent_ms = now_ms
    speed = state.speed.learned()
    room = WorkerRoom(
        now_ms,
        *peer.room_sent,
        peer.last_order,
        round(speed.mean_log_slowdown, SPEED_DECIMALS),
        speed.runs,
    )
    state.effects.append(Send(peer.link, room))


def is_retiring(state: BurstAgentState, peer: EntryPeer) -> bool:
    """Return whether the link to an entry is about to be closed."""
    dialled = state.dialled.get(peer.link)
    return dialled is not None and dialled.retire_due_ms is not None


def room_for(state: BurstAgentState, peer: EntryPeer) -> tuple[Resources, bool]:
    """Return the worker's room, and whether the entry may order runs."""
    return state.free(), state.accepting() and not is_retiring(state, peer)


def push_room(state: BurstAgentState, now_ms: int) -> None:
    """Send room updates to the entries for which one is due.

    Updates are rate-limited: with many entries and workers, small instances
    would do little else than read them. A change of whether the worker accepts
    runs is sent at once.
    """
    is_push_due = (
        state.room_push_due_ms is not None and now_ms >= state.room_push_due_ms
    )
    if not state.room_changed and not is_push_due:
        return
    state.room_changed = False
    state.room_push_due_ms = None
    linked = [peer for peer in state.peers.values() if peer.linked]
    watching = sum(now_ms < peer.watching_until_ms for peer in linked)
    interval_ms = max(ROOM_PUSH_INTERVAL_MS, ROOM_PUSH_INTERVAL_PER_ENTRY_MS * watching)
    idle_interval_ms = max(
        IDLE_ROOM_PUSH_INTERVAL_MS, IDLE_ROOM_PUSH_INTERVAL_PER_ENTRY_MS * len(linked)
    )
    for peer in linked:
        room = room_for(state, peer)
        if peer.room_sent == room:
            continue
        if peer.room_sent is None or peer.room_sent[1] != room[1]:
            due_ms = now_ms
        elif now_ms < peer.watching_until_ms:
            due_ms = peer.room_sent_ms + interval_ms
        elif peer.same_data_centre:
            due_ms = peer.room_sent_ms + idle_interval_ms
        else:
            due_ms = peer.room_sent_ms + REMOTE_INTERVAL_FACTOR * idle_interval_ms
        if now_ms >= due_ms:
            send_room(state, peer, now_ms)
        elif state.room_push_due_ms is None or due_ms < state.room_push_due_ms:
            state.room_push_due_ms = due_ms


def send_due_beats(state: BurstAgentState, now_ms: int) -> None:
    """Send a heartbeat to each linked entry that is due for a stamp to echo.

    Room updates carry a stamp as well, so that a link with a recent update needs
    no heartbeat. With hundreds of links in a deployment, this saves messages.
    """
    for peer, due_ms in beat_due_times(state):
        if now_ms >= due_ms:
            peer.last_stamp_sent_ms = now_ms
            state.effects.append(Send(peer.link, AgentBeat(now_ms)))


def beat_due_times(state: BurstAgentState) -> Iterator[tuple[EntryPeer, int]]:
    """Yield each linked entry with the time at which it is due for a stamp."""
    busy = {run.entry_name for run in state.runs.values()}
    for peer in state.peers.values():
        if peer.linked:
            has_runs = peer.name in busy
            interval_ms = (
                timing.BUSY_BEAT_INTERVAL_MS
                if has_runs
                else timing.IDLE_BEAT_INTERVAL_MS
            )
            yield peer, peer.last_stamp_sent_ms + interval_ms


def check_entries(state: BurstAgentState, now_ms: int) -> None:
    """Stop the runs of lost entries and drop silent links."""
    for peer in list(state.peers.values()):
        if now_ms > peer.alive_until_ms:
            stop_runs_of_lost_entry(state, peer, now_ms)
        silent_ms = now_ms - max(peer.last_heard_ms, state.resumed_ms)
        if peer.linked and silent_ms > timing.IDLE_SILENCE_LIMIT_MS:
            peer.last_heard_ms = now_ms
            log_link(state, "link silent", peer, now_ms)
            state.effects.append(DropLink(peer.link))


def stop_runs_of_lost_entry(
    state: BurstAgentState, peer: EntryPeer, now_ms: int
) -> None:
    """Stop the runs of a lost entry, as its callers may submit again elsewhere."""
    live = [run for run in state.runs_of(peer.name) if agent_runs.is_live(run)]
    if not live:
        return
    fields: dict[str, object] = {
        "entry": peer.name,
        "runs": len(live),
        "silent_ms": now_ms - peer.alive_until_ms + timing.SILENCE_LIMIT_MS,
        "bound_ms": timing.SILENCE_LIMIT_MS,
    }
    state.effects.append(LogDecision("entry lost, stopping its runs", fields))
    state.counters["runs_stopped_entry_lost"] += len(live)
    for run in live:
        agent_runs.begin_stop(state, run, "entry lost")


def log_link(state: BurstAgentState, event: str, peer: EntryPeer, now_ms: int) -> None:
    """Log a change of the link to an entry."""
    fields: dict[str, object] = {
        "entry": peer.name,
        "address": peer.link,
        "runs": len(state.runs_of(peer.name)),
        "heard_ms_ago": now_ms - peer.last_heard_ms,
    }
    state.effects.append(LogDecision(event, fields))
