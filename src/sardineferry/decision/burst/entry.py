"""Drives an entry's decisions on burst jobs: one event in, effects out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import entry_agents
from sardineferry.decision.burst import entry_callers
from sardineferry.decision.burst import entry_config
from sardineferry.decision.burst import entry_placing
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.entry_rules import handle_entry_event
from sardineferry.decision.burst.entry_state import BurstEntryState
from sardineferry.decision.link_effects import Exit
from sardineferry.decision.link_effects import Send
from sardineferry.messages.burst import EntryLeft

if TYPE_CHECKING:
    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["RULES", "BurstEntryCore", "BurstEntryState"]

# Importing these modules registers their rules.
RULES = (entry_agents, entry_callers, entry_config)

IDLE_TICK_MS = 200
# Between looks for jobs to give up and for agents that are lost; what can be
# placed is placed by events.
BUSY_TICK_MS = 40
# The balancer takes an entry out after two missed checks, one a second.
ROTATION_MS = 2_500
# What is left of the grace for telling callers.
ANSWER_RESERVE_MS = 700
EXIT_RESERVE_MS = 300


class BurstEntryCore:
    """The entry's state and its rules."""

    def __init__(self, state: BurstEntryState) -> None:
        """Drive this state."""
        self.state = state
        self.ticked_ms: int | None = None

    def handle(self, event: object, sender: str, now_ms: int) -> list[BurstEffect]:
        """Apply an event from a link (``sender``) or from the process."""
        handle_entry_event(event, self.state, sender, now_ms)
        return self.take_effects()

    def conclude(self, now_ms: int) -> list[BurstEffect]:
        """Place what waits, once all events of a pass are known."""
        entry_placing.place_waiting(self.state, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[BurstEffect]:
        """Apply what is due by the clock."""
        state = self.state
        last_ms = self.ticked_ms
        if last_ms is not None and now_ms - last_ms > timing.PAUSE_THRESHOLD_MS:
            state.resumed_ms = now_ms
        self.ticked_ms = now_ms
        if state.started_ms is None:
            state.started_ms = now_ms
        entry_agents.check_agents(state, now_ms)
        entry_callers.check_queue(state, now_ms)
        state.placing_due = True
        if state.leaving_ms is not None:
            self.leave(state.leaving_ms, now_ms)
        return self.take_effects()

    def leave(self, since_ms: int, now_ms: int) -> None:
        """Serve what is in flight within the grace, then exit."""
        state = self.state
        elapsed_ms = now_ms - since_ms
        if elapsed_ms >= state.grace_ms - ANSWER_RESERVE_MS:
            entry_callers.give_up_all(state, now_ms)
        idle = not state.jobs and elapsed_ms >= ROTATION_MS
        if idle or elapsed_ms >= state.grace_ms - EXIT_RESERVE_MS:
            left = EntryLeft(state.name)
            links = [view.name for view in state.agents.values() if view.linked]
            state.effects.extend(Send(link, left) for link in links)
            state.left = True
            state.effects.append(Exit("drained" if idle else "grace is over"))

    def tick_interval_ms(self) -> int:
        """Return how long the next tick may wait."""
        busy = self.state.jobs or self.state.leaving_ms is not None
        return BUSY_TICK_MS if busy else IDLE_TICK_MS

    def take_effects(self) -> list[BurstEffect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects
