"""Chooses the rule of an event by its type; other modules register rules."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState

__all__ = ["handle_event"]


@singledispatch
def handle_event(event: object, state: EntryState, sender: str, now_ms: int) -> None:
    """Apply an event; unknown kinds are a programming error."""
    raise TypeError(f"no rule for {type(event).__name__}")
