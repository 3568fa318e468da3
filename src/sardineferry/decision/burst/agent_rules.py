"""Chooses the agent's rule of an event by its type."""

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
    """Apply an event; unknown kinds are a programming error."""
    raise TypeError(f"no rule for {type(event).__name__}")
