"""The decision core of an entry: takes events, returns effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import Effect
from sardineferry.decision.effects import Exit
from sardineferry.decision.entry import agent_handlers
from sardineferry.decision.entry import caller_handlers
from sardineferry.decision.entry import claiming
from sardineferry.decision.entry import log_handlers
from sardineferry.decision.entry import operator_handlers
from sardineferry.decision.entry import peer_handlers
from sardineferry.decision.entry import timers
from sardineferry.decision.entry.event_dispatch import handle_event

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState

__all__ = ["HANDLER_MODULES", "EntryCore"]

# Importing these modules registers their event handlers.
HANDLER_MODULES = (
    agent_handlers,
    caller_handlers,
    log_handlers,
    operator_handlers,
    peer_handlers,
)

# Used while jobs, claims or preset changes are open, and while the entry drains.
BUSY_TICK_INTERVAL_MS = 20
IDLE_TICK_INTERVAL_MS = 200


class EntryCore:
    """Applies events and the clock to an entry's state and returns the effects."""

    def __init__(self, state: EntryState) -> None:
        """Use this state."""
        self.state = state

    def handle(self, event: object, sender: str, now_ms: int) -> list[Effect]:
        """Apply an event of the link ``sender``, or of the process if that is empty."""
        handle_event(event, self.state, sender, now_ms)
        claiming.append_due_claims(self.state, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[Effect]:
        """Apply expired deadlines, do periodic work, and exit once drained."""
        timers.tick(self.state, now_ms)
        if self.state.leaving and not self.state.live_jobs:
            self.state.effects.append(Exit("drained"))
        return self.take_effects()

    def conclude(self, _now_ms: int, _inputs_ms: int) -> list[Effect]:
        """Return no effects: ``handle`` already acts on each event."""
        return []

    def tick_interval_ms(self) -> int:
        """Return the longest time until the next tick."""
        state = self.state
        busy = state.live_jobs or state.claim_batch or state.preset_changes
        return BUSY_TICK_INTERVAL_MS if busy or state.leaving else IDLE_TICK_INTERVAL_MS

    def take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects
