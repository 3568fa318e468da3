"""Dispatches the entry's events to their handlers by type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["handle_entry_event"]


@singledispatch
def handle_entry_event(
    event: object, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Apply an event to the state; a type without a handler is a bug."""
    raise TypeError(f"no entry handler for {type(event).__name__}")
