"""The agent's rules on entries: links, signs of life and pushes of room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import agent_membership
from sardineferry.decision.burst import agent_runs
from sardineferry.decision.burst import agent_worker
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_rules import handle_agent_event
from sardineferry.decision.burst.agent_state import Owner
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

__all__ = ["beats_due", "check_owners", "push_room", "send_beats", "send_profile"]

# Changes of room within this time travel in one push; an entry that places by
# older room is refused, which costs it a round trip of about 3 ms.
ROOM_GAP_MS = 4
# With many entries pushes are rarer, so that what an entry gets of all agents
# does not grow with the number of entries.
ROOM_GAP_PER_ENTRY_MS = 3
# To an entry without work for this worker, and more with each entry: an entry
# that gets work asks for all changes at once. With 11 entries on each of 160
# workers one of 35 entries reads about 70 such pushes a second.
ROOM_GAP_IDLE_MS = 300
ROOM_GAP_IDLE_PER_ENTRY_MS = 50
# Of a logarithm: a hundredth part of a run time.
SPEED_DIGITS = 2
# Bytes between data centres are dear, and near workers are used first.
FAR_FACTOR = 2
# Ends are told again on a new link for this long: an entry has given up a run
# of an agent that was away for longer.
ENDS_RESENT_MS = 10_000


@handle_agent_event.register(LinkUp)
def on_link_up(
    event: LinkUp, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Announce the worker; the entry answers with its name."""
    agent_membership.note_link(state, event.name, True, now_ms)
    announce = WorkerAnnounce(state.name, state.incarnation, state.data_centre)
    state.effects.append(Send(event.name, announce))


@handle_agent_event.register(LinkDown)
def on_link_down(
    event: LinkDown, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Keep the runs: the entry may be back within the silence bound."""
    agent_membership.note_link(state, event.name, False, now_ms)
    name = state.link_owners.pop(event.name, None)
    owner = state.owners.get(name) if name else None
    if owner is None or owner.link != event.name:
        return
    owner.linked = False
    log_link(state, "link lost", owner, now_ms)


@handle_agent_event.register(EntryWelcome)
def on_welcome(
    event: EntryWelcome, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Greet an entry: one that is new, back on a new link, or restarted."""
    owner = state.owners.get(event.entry)
    if owner is not None and owner.incarnation != event.incarnation:
        for run in state.runs_of(owner.name):
            agent_runs.begin_stop(state, run, "entry restarted")
        owner = None
    if owner is None:
        near = event.data_centre == state.data_centre
        owner = Owner(event.entry, event.incarnation, sender, near, now_ms)
        state.owners[event.entry] = owner
    owner.link = sender
    owner.linked = True
    owner.heard_ms = now_ms
    owner.room_sent = None
    state.link_owners[sender] = owner.name
    if event.profile is not None:
        agent_worker.take_profile(state, event.profile)
    agent_membership.note_welcome(state, event, sender, now_ms)
    greet(state, owner, now_ms)
    log_link(state, "link made", owner, now_ms)


def greet(state: BurstAgentState, owner: Owner, now_ms: int) -> None:
    """Tell an entry all that it may have missed."""
    held = [run.ref for run in state.runs_of(owner.name)]
    messages: list[object] = [
        *(
            ended
            for ended_ms, ended in owner.ends
            if now_ms - ended_ms <= ENDS_RESENT_MS
        ),
        HeldRuns(tuple(held), owner.last_order),
        AgentBeat(now_ms),
    ]
    state.effects.extend(Send(owner.link, message) for message in messages)
    send_profile(state, owner)
    send_room(state, owner, now_ms)
    state.effects.extend(state.config.offers([owner.link]))


@handle_agent_event.register(EntryBeat)
def on_entry_beat(
    event: EntryBeat, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Let the entry's runs go on while it echoes fresh stamps."""
    owner = owner_of(state, sender)
    if owner is None:
        return
    owner.heard_ms = now_ms
    alive_until_ms = event.echo_ms + timing.SILENCE_MS
    owner.alive_until_ms = max(owner.alive_until_ms, alive_until_ms)


@handle_agent_event.register(WatchRoom)
def on_watch_room(
    _event: WatchRoom, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Tell an entry that has jobs waiting of each change of room."""
    owner = owner_of(state, sender)
    if owner is not None:
        owner.watches_until_ms = now_ms + timing.WATCH_MS
        state.room_dirty = True


@handle_agent_event.register(EntryLeft)
def on_entry_left(
    event: EntryLeft, state: BurstAgentState, _sender: str, _now_ms: int
) -> None:
    """Note that an entry ends by itself; its link will end."""
    state.effects.append(LogDecision("entry left", {"entry": event.entry}))


@handle_agent_event.register(ConfigOffer)
def on_config_offer(
    event: ConfigOffer, state: BurstAgentState, sender: str, _now_ms: int
) -> None:
    """Ask for a newer configuration, or offer ours."""
    state.effects.extend(state.config.answer_offer(sender, event.version))


@handle_agent_event.register(ConfigRequest)
def on_config_request(
    _event: ConfigRequest, state: BurstAgentState, sender: str, _now_ms: int
) -> None:
    """Pass our configuration on."""
    state.effects.extend(state.config.answer_request(sender))


@handle_agent_event.register(ConfigText)
def on_config_text(
    event: ConfigText, state: BurstAgentState, sender: str, _now_ms: int
) -> None:
    """Hold a newer configuration and offer it to the other entries."""
    if state.config.adopt(event.version, event.text):
        state.effects.extend(state.config.offers(state.link_owners, sender))


@handle_agent_event.register(Drain)
def on_drain(event: Drain, state: BurstAgentState, _sender: str, now_ms: int) -> None:
    """Accept nothing more; what runs may finish within the grace."""
    if state.leaving_ms is None:
        state.leaving_ms = now_ms
        state.room_dirty = True
        fields: dict[str, object] = {"runs": len(state.runs), "reason": event.reason}
        state.effects.append(LogDecision("draining", fields))


def owner_of(state: BurstAgentState, link: str) -> Owner | None:
    """Return the entry at the other end of a link."""
    name = state.link_owners.get(link)
    return state.owners.get(name) if name else None


def send_profile(state: BurstAgentState, owner: Owner) -> None:
    """Tell an entry what the worker is."""
    if state.total is not None:
        worker = state.worker
        profile = WorkerProfile(
            state.service,
            state.total,
            state.labels,
            worker.report.born_ms if worker is not None else 0,
            worker is not None and worker.report.draining,
        )
        state.effects.append(Send(owner.link, profile))


def send_room(state: BurstAgentState, owner: Owner, now_ms: int) -> None:
    """Tell an entry the worker's room."""
    owner.room_sent = room_for(state, owner)
    owner.room_sent_ms = now_ms
    owner.stamp_sent_ms = now_ms
    speed = state.speed.learned()
    room = WorkerRoom(
        now_ms,
        *owner.room_sent,
        owner.last_order,
        round(speed.mean_log_slowdown, SPEED_DIGITS),
        speed.runs,
    )
    state.effects.append(Send(owner.link, room))


def is_retiring(state: BurstAgentState, owner: Owner) -> bool:
    """Tell whether the link to an entry is about to end."""
    dialled = state.dialled.get(owner.link)
    return dialled is not None and dialled.retire_ms is not None


def room_for(state: BurstAgentState, owner: Owner) -> tuple[Resources, bool]:
    """Return what an entry is to know: the room, and whether it may order."""
    return state.free(), state.accepting() and not is_retiring(state, owner)


def push_room(state: BurstAgentState, now_ms: int) -> None:
    """Tell entries of a change of room, first those with work for the worker.

    Answers many entries and many workers: if each change went to each entry at
    once, small instances would do little but read them.
    """
    is_due = state.room_due_ms is not None and now_ms >= state.room_due_ms
    if not state.room_dirty and not is_due:
        return
    state.room_dirty = False
    state.room_due_ms = None
    linked = [owner for owner in state.owners.values() if owner.linked]
    watching = sum(now_ms < owner.watches_until_ms for owner in linked)
    gap_ms = max(ROOM_GAP_MS, ROOM_GAP_PER_ENTRY_MS * watching)
    idle_gap_ms = max(ROOM_GAP_IDLE_MS, ROOM_GAP_IDLE_PER_ENTRY_MS * len(linked))
    for owner in linked:
        room = room_for(state, owner)
        if owner.room_sent == room:
            continue
        if owner.room_sent is None or owner.room_sent[1] != room[1]:
            due_ms = now_ms
        elif now_ms < owner.watches_until_ms:
            due_ms = owner.room_sent_ms + gap_ms
        elif owner.near:
            due_ms = owner.room_sent_ms + idle_gap_ms
        else:
            due_ms = owner.room_sent_ms + FAR_FACTOR * idle_gap_ms
        if now_ms >= due_ms:
            send_room(state, owner, now_ms)
        elif state.room_due_ms is None or due_ms < state.room_due_ms:
            state.room_due_ms = due_ms


def send_beats(state: BurstAgentState, now_ms: int) -> None:
    """Send each linked entry a stamp to echo, often while it has runs here.

    Answers hundreds of links: only to those that no other message has carried
    a stamp to meanwhile.
    """
    for owner, due_ms in beats_due(state):
        if now_ms >= due_ms:
            owner.stamp_sent_ms = now_ms
            state.effects.append(Send(owner.link, AgentBeat(now_ms)))


def beats_due(state: BurstAgentState) -> Iterator[tuple[Owner, int]]:
    """Yield linked entries, each with the time by which it needs a stamp."""
    busy = {run.owner for run in state.runs.values()}
    for owner in state.owners.values():
        if owner.linked:
            is_busy = owner.name in busy
            gap_ms = timing.BUSY_BEAT_MS if is_busy else timing.IDLE_BEAT_MS
            yield owner, owner.stamp_sent_ms + gap_ms


def check_owners(state: BurstAgentState, now_ms: int) -> None:
    """Stop the runs of entries that are lost; drop links that are silent."""
    for owner in list(state.owners.values()):
        if now_ms > owner.alive_until_ms:
            stop_runs_of_lost(state, owner, now_ms)
        silent_ms = now_ms - max(owner.heard_ms, state.resumed_ms)
        if owner.linked and silent_ms > timing.IDLE_SILENCE_MS:
            owner.heard_ms = now_ms
            log_link(state, "link silent", owner, now_ms)
            state.effects.append(DropLink(owner.link))


def stop_runs_of_lost(state: BurstAgentState, owner: Owner, now_ms: int) -> None:
    """Answer the loss of an entry: its caller may submit again elsewhere."""
    live = [run for run in state.runs_of(owner.name) if agent_runs.is_live(run)]
    if not live:
        return
    fields: dict[str, object] = {
        "entry": owner.name,
        "runs": len(live),
        "silent_ms": now_ms - owner.alive_until_ms + timing.SILENCE_MS,
        "bound_ms": timing.SILENCE_MS,
    }
    state.effects.append(LogDecision("entry lost, stopping its runs", fields))
    state.counters["runs_stopped_entry_lost"] += len(live)
    for run in live:
        agent_runs.begin_stop(state, run, "entry lost")


def log_link(state: BurstAgentState, event: str, owner: Owner, now_ms: int) -> None:
    """Log a change of a link."""
    fields: dict[str, object] = {
        "entry": owner.name,
        "address": owner.link,
        "runs": len(state.runs_of(owner.name)),
        "heard_ms_ago": now_ms - owner.heard_ms,
    }
    state.effects.append(LogDecision(event, fields))
