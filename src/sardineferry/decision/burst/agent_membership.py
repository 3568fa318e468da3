"""The agent's rules on which entries it links to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst.agent_rules import handle_agent_event
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.link_selection import rank_entries
from sardineferry.decision.burst.link_selection import select_entries
from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.common_effects import Connect
from sardineferry.decision.common_effects import Disconnect
from sardineferry.decision.common_events import AddressesRead
from sardineferry.messages.burst import EntryEndpoint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.messages.burst import EntryWelcome

__all__ = ["DialledEntry", "note_link", "note_welcome", "review_links"]

# Without a link for this long an entry counts as absent and another one stands
# in for it: an entry that is killed is back after about as long.
ABSENT_MS = 1_000
# A link that is not needed any more tells so, and ends after this without an
# order: orders that are on their way take a few ms.
RETIRE_MS = 1_500
REVIEW_GAP_MS = 250


class DialledEntry:
    """An address that the agent keeps a link to, or tries to."""

    __slots__ = ("incarnation", "linked", "retire_ms", "since_ms")

    def __init__(self, now_ms: int, incarnation: str = "") -> None:
        """Begin without a link."""
        self.incarnation = incarnation
        self.linked = False
        # Since when there is a link, or none.
        self.since_ms = now_ms
        # When the link may end; None while it is wanted.
        self.retire_ms: int | None = None


@handle_agent_event.register(AddressesRead)
def on_addresses(
    event: AddressesRead, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Dial entries that the settings name, while no others are known."""
    if not state.places:
        for address in event.addresses:
            dial(state, address, "", now_ms)


@handle_agent_event.register(EntriesRead)
def on_entries(
    event: EntriesRead, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Take the registered entries, and those at the end of a link."""
    linked = {
        name: place
        for name, place in state.places.items()
        if place.address in state.dialled and state.dialled[place.address].linked
    }
    registered = {place.name: place for place in event.places}
    take_places(state, {**linked, **registered}, now_ms)


def note_link(state: BurstAgentState, address: str, linked: bool, now_ms: int) -> None:
    """Note that the link to an address is there, or lost."""
    dialled = state.dialled.get(address)
    if dialled is None:
        if not linked:
            return
        dialled = DialledEntry(now_ms)
        state.dialled[address] = dialled
    dialled.linked = linked
    dialled.since_ms = now_ms


def note_welcome(
    state: BurstAgentState, event: EntryWelcome, link: str, now_ms: int
) -> None:
    """Take an entry's word on itself, and of others that were not known."""
    own = EntryEndpoint(event.entry, link, event.data_centre, event.incarnation)
    heard = {place.name: place for place in event.entries if place.name}
    take_places(state, {**heard, **state.places, own.name: own}, now_ms)


def take_places(
    state: BurstAgentState, places: dict[str, EntryEndpoint], now_ms: int
) -> None:
    """Choose among the entries that are known now."""
    if places != state.places:
        state.places = places
        state.ranking = rank_entries(state.name, places.values())
        review_links(state, now_ms)


def dial(
    state: BurstAgentState, address: str, incarnation: str, now_ms: int
) -> DialledEntry:
    """Keep a link to an address; one that restarted is dialled at once."""
    dialled = state.dialled.get(address)
    if dialled is None:
        dialled = DialledEntry(now_ms, incarnation)
        state.dialled[address] = dialled
        state.effects.append(Connect(address))
    elif incarnation and dialled.incarnation != incarnation:
        dialled.incarnation = incarnation
        if not dialled.linked:
            dialled.since_ms = now_ms
            state.effects.append(Connect(address))
    return dialled


def review_links(state: BurstAgentState, now_ms: int) -> None:
    """Dial what is chosen, and let go of what is not, once it is idle."""
    state.next_review_ms = now_ms + REVIEW_GAP_MS
    if not state.places:
        return
    absent = set(absent_of(state, now_ms))
    chosen = select_entries(state.ranking, state.data_centre, absent)
    wanted = {state.places[name].address for name in chosen}
    for name in sorted(chosen):
        place = state.places[name]
        dialled = dial(state, place.address, place.incarnation, now_ms)
        if dialled.retire_ms is not None:
            dialled.retire_ms = None
            state.room_dirty = True
    for address in [address for address in state.dialled if address not in wanted]:
        let_go(state, address, now_ms)


def absent_of(state: BurstAgentState, now_ms: int) -> Iterable[str]:
    """Yield the entries that have been dialled in vain for long."""
    for name, place in state.places.items():
        dialled = state.dialled.get(place.address)
        if dialled is None or dialled.linked:
            continue
        if now_ms - dialled.since_ms > ABSENT_MS:
            yield name


def let_go(state: BurstAgentState, address: str, now_ms: int) -> None:
    """End a link that is not chosen, without losing an order on its way."""
    dialled = state.dialled[address]
    owner_name = state.link_owners.get(address)
    if dialled.linked and dialled.retire_ms is None:
        dialled.retire_ms = now_ms + RETIRE_MS
        state.room_dirty = True
        return
    if dialled.linked and owner_name is not None and state.runs_of(owner_name):
        dialled.retire_ms = now_ms + RETIRE_MS
        return
    if dialled.linked and now_ms < (dialled.retire_ms or 0):
        return
    del state.dialled[address]
    state.effects.append(Disconnect(address))
    fields: dict[str, object] = {"address": address, "entry": owner_name or ""}
    state.effects.append(LogDecision("link not needed", fields))
