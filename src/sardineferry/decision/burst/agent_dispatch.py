"""Dispatches events of the agent to their handlers by type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.decision.burst.agent_state import BurstAgentState

__all__ = ["handle_agent_event"]


@singledispatch
def handle_agent_event(
    event: object, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Apply an event to the agent's state.

    Raises:
        TypeError: No handler is registered for the type of the event.

    """
    raise TypeError(f"no handler for event {type(event).__name__}")
