"""Grants credits against the target's real free units.

A freed credit goes to the entry whose oldest task has waited longest; with
no entry waiting it stays with the entry that used it, which costs no
message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import Send
from sardineferry.messages.wire import Grant
from sardineferry.messages.wire import Recall

if TYPE_CHECKING:
    from sardineferry.decision.agent.state import AgentState
    from sardineferry.decision.agent.state import EntryLink

__all__ = ["distribute", "regrant", "share_with", "spend"]


def spend(state: AgentState, entry: str, units: int) -> None:
    """Take the credits of a start from what its entry holds."""
    link = state.links.get(entry)
    if link is not None:
        link.held = max(0, link.held - units)


def regrant(state: AgentState, entry: str, units: int, now_ms: int) -> int:
    """Return the credits that go back to the entry with its answer."""
    link = state.links.get(entry)
    if link is None or state.leaving or link.lease_until_ms <= now_ms:
        return 0
    waiting = [
        other
        for name, other in state.links.items()
        if name != entry and other.waiting > 0
    ]
    if any(is_ahead(other, link) for other in waiting):
        return 0
    granted = max(0, min(units, state.free_units()))
    link.held += granted
    link.waiting = max(0, link.waiting - granted)
    return granted


def is_ahead(other: EntryLink, link: EntryLink) -> bool:
    """Tell whether the other entry has waited longer than this one."""
    if link.waiting == 0:
        return True
    return other.demand_since_ms < link.demand_since_ms


def distribute(state: AgentState, now_ms: int) -> None:
    """Grant free units to waiting entries, the longest waiting first."""
    if state.leaving:
        return
    waiting = sorted(
        (
            (link.demand_since_ms, name)
            for name, link in state.links.items()
            if link.waiting > 0 and link.lease_until_ms > now_ms
        ),
    )
    for _, name in waiting:
        link = state.links[name]
        granted = min(link.waiting, state.free_units())
        if granted > 0:
            grant(state, name, granted)
        if link.waiting > 0:
            recall_for(state, name)


def grant(state: AgentState, entry: str, units: int) -> None:
    """Grant credits in a message of their own."""
    link = state.links[entry]
    link.held += units
    link.waiting = max(0, link.waiting - units)
    state.counters["grants"] += 1
    state.effects.append(Send(entry, Grant(units)))


def recall_for(state: AgentState, entry: str) -> None:
    """Ask the largest holder that is not ahead for its unused credits."""
    if not state.policy.recalls:
        return
    asking = state.links[entry]
    holders = [
        (link.held, name)
        for name, link in state.links.items()
        if name != entry and link.held > 0 and is_ahead(asking, link)
    ]
    if not holders:
        return
    held, name = max(holders)
    if state.links[name].recalled:
        return
    wanted = min(held, asking.waiting)
    state.links[name].recalled = True
    state.counters["recalls"] += 1
    state.effects.append(Send(name, Recall(wanted)))


def share_with(state: AgentState, entry: str, now_ms: int) -> None:
    """Give a new entry its even share of the units."""
    pool = state.units + state.policy.extra_units
    link = state.links[entry]
    link.waiting = max(1, pool // len(state.links))
    link.demand_since_ms = now_ms
    distribute(state, now_ms)
