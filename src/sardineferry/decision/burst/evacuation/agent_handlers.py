"""Event handlers of the agent for evacuations: adopt a list and pass it on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst.agent_dispatch import handle_agent_event
from sardineferry.decision.burst.evacuation.relay import describe_adoption
from sardineferry.messages.burst import Evacuations

if TYPE_CHECKING:
    from sardineferry.decision.burst.agent_state import BurstAgentState

__all__: list[str] = []


@handle_agent_event.register(Evacuations)
def on_evacuations(
    event: Evacuations, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Adopt a newer list and pass it on to the other entries; correct an older one."""
    relay = state.evacuation
    previous = relay.adopt(event, now_ms)
    if previous is None:
        state.effects.extend(relay.correct(sender, event))
        return
    line = describe_adoption(previous, event, sender)
    if line is not None:
        state.counters["evacuations_adopted"] += 1
        state.effects.append(line)
    linked = [view.link for view in state.entry_views.values() if view.linked]
    state.effects.extend(relay.announce(linked, sender))
