"""Event handlers of the agent that choose the entries it links to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst.agent_dispatch import handle_agent_event
from sardineferry.decision.burst.dialled_entry import DialledEntry
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

__all__ = ["record_link", "record_welcome", "review_links"]

# An entry without a link for longer than this counts as absent: the agent goes on
# dialling it, and links to another entry in addition. A killed entry is back after
# about 1 s; for one that is back sooner, no other link is opened.
ABSENT_AFTER_MS = 1_000
# The same for a lost link to an entry of another data centre. Until the next one is
# linked, nobody there is told of runs here.
ABSENT_ELSEWHERE_AFTER_MS = 200
# An entry whose link is no longer needed is asked to send no orders. The link is
# closed this long after, or if later, this long after the entry's last run here.
# Orders that are still in transit arrive within a few ms.
RETIRE_DELAY_MS = 1_500
# Time between two reviews of which links are needed.
REVIEW_INTERVAL_MS = 250


@handle_agent_event.register(AddressesRead)
def on_addresses_read(
    event: AddressesRead, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Dial the addresses from the settings while no entries are known."""
    if not state.known_entries:
        for address in event.addresses:
            dial(state, address, "", now_ms)


@handle_agent_event.register(EntriesRead)
def on_entries_read(
    event: EntriesRead, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Replace the known entries by the registered ones, but keep linked ones."""
    linked = {
        name: entry
        for name, entry in state.known_entries.items()
        if entry.address in state.dialled and state.dialled[entry.address].linked
    }
    registered = {entry.name: entry for entry in event.entries}
    set_known_entries(state, {**linked, **registered}, now_ms)


def record_link(
    state: BurstAgentState, address: str, linked: bool, now_ms: int
) -> None:
    """Record that the link to an address was established or lost."""
    dialled = state.dialled.get(address)
    if dialled is None:
        if not linked:
            return
        dialled = DialledEntry(now_ms)
        state.dialled[address] = dialled
    dialled.linked = linked
    dialled.was_linked = dialled.was_linked or linked
    dialled.link_changed_ms = now_ms
    if not linked:
        review_ms = now_ms + ABSENT_ELSEWHERE_AFTER_MS + 1
        state.review_due_ms = min(state.review_due_ms, review_ms)


def record_welcome(
    state: BurstAgentState, event: EntryWelcome, link: str, now_ms: int
) -> None:
    """Record the welcoming entry, and add those that it names if not known."""
    welcoming_entry = EntryEndpoint(
        event.entry, link, event.data_centre, event.incarnation
    )
    named = {entry.name: entry for entry in event.entries if entry.name}
    set_known_entries(
        state,
        {**named, **state.known_entries, welcoming_entry.name: welcoming_entry},
        now_ms,
    )


def set_known_entries(
    state: BurstAgentState, entries: dict[str, EntryEndpoint], now_ms: int
) -> None:
    """Replace the known entries, and review the links if they have changed."""
    if entries != state.known_entries:
        state.known_entries = entries
        state.ranking = rank_entries(state.name, entries.values())
        review_links(state, now_ms)


def dial(
    state: BurstAgentState, address: str, incarnation: str, now_ms: int
) -> DialledEntry:
    """Dial a new address, or a known one without a link whose entry restarted.

    A restarted entry is dialled at once, without waiting for the next try.
    """
    dialled = state.dialled.get(address)
    if dialled is None:
        dialled = DialledEntry(now_ms, incarnation)
        state.dialled[address] = dialled
        state.effects.append(Connect(address))
    elif incarnation and dialled.incarnation != incarnation:
        dialled.incarnation = incarnation
        if not dialled.linked:
            dialled.link_changed_ms = now_ms
            state.effects.append(Connect(address))
    return dialled


def review_links(state: BurstAgentState, now_ms: int) -> None:
    """Dial the selected entries, and close links to the others once they are idle."""
    state.review_due_ms = now_ms + REVIEW_INTERVAL_MS
    if not state.known_entries:
        return
    absent = set(absent_entries(state, now_ms))
    chosen = select_entries(state.ranking, state.data_centre, absent)
    needed = {state.known_entries[name].address for name in chosen}
    for name in sorted(chosen):
        entry = state.known_entries[name]
        dialled = dial(state, entry.address, entry.incarnation, now_ms)
        if dialled.retire_due_ms is not None:
            dialled.retire_due_ms = None
            state.capacity_changed = True
    for address in [address for address in state.dialled if address not in needed]:
        close_unneeded_link(state, address, now_ms)


def absent_entries(state: BurstAgentState, now_ms: int) -> Iterable[str]:
    """Yield the names of dialled entries without a link for too long."""
    for name, entry in state.known_entries.items():
        dialled = state.dialled.get(entry.address)
        if dialled is None or dialled.linked:
            continue
        bound_ms = (
            ABSENT_ELSEWHERE_AFTER_MS
            if dialled.was_linked and entry.data_centre != state.data_centre
            else ABSENT_AFTER_MS
        )
        if now_ms - dialled.link_changed_ms > bound_ms:
            yield name


def close_unneeded_link(state: BurstAgentState, address: str, now_ms: int) -> None:
    """Close an unneeded link, but only once the entry can have no runs here.

    For an open link, the first call only sets when it may be closed. From then on
    capacity updates tell the entry that the agent accepts no orders, but some may
    still be in transit.
    """
    dialled = state.dialled[address]
    entry_name = state.entry_names_by_link.get(address)
    if dialled.linked and dialled.retire_due_ms is None:
        dialled.retire_due_ms = now_ms + RETIRE_DELAY_MS
        state.capacity_changed = True
        return
    in_use = entry_name is not None and (
        state.runs_of(entry_name) or state.waiting_orders_of(entry_name)
    )
    if dialled.linked and in_use:
        dialled.retire_due_ms = now_ms + RETIRE_DELAY_MS
        return
    if dialled.linked and now_ms < (dialled.retire_due_ms or 0):
        return
    del state.dialled[address]
    state.effects.append(Disconnect(address))
    fields: dict[str, object] = {"address": address, "entry": entry_name or ""}
    state.effects.append(LogDecision("closing an unneeded link", fields))
