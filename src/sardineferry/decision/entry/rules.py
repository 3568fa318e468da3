"""Dispatches each event to the rule that is registered for its type.

A rule is a function that applies one type of event to the state. The
``*_rules`` modules register theirs with ``@handle_event.register``.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState

__all__ = ["handle_event"]


@singledispatch
def handle_event(event: object, state: EntryState, sender: str, now_ms: int) -> None:
    """Apply an event to the state.

    Raises:
        TypeError: No rule is registered for the type of the event.

    """
    raise TypeError(f"no rule for {type(event).__name__}")
