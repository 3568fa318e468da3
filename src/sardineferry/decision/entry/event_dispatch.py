"""Dispatches events of the entry to their handlers by type.

The ``*_handlers`` modules register their handlers with ``@handle_event.register``.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState

__all__ = ["handle_event"]


@singledispatch
def handle_event(event: object, state: EntryState, sender: str, now_ms: int) -> None:
    """Apply an event to the entry's state.

    Raises:
        TypeError: No handler is registered for the type of the event.

    """
    raise TypeError(f"no handler for event {type(event).__name__}")
