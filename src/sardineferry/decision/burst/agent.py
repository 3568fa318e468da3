"""Drives an agent's decisions on a leased worker: one event in, effects out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import agent_links
from sardineferry.decision.burst import agent_membership
from sardineferry.decision.burst import agent_runs
from sardineferry.decision.burst import agent_worker
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_rules import handle_agent_event
from sardineferry.decision.burst.agent_state import BurstAgentState
from sardineferry.decision.common_effects import Exit

if TYPE_CHECKING:
    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["RULES", "BurstAgentCore", "BurstAgentState"]

# Importing these modules registers their rules.
RULES = (agent_links, agent_membership, agent_runs, agent_worker)

IDLE_TICK_MS = 250
# Between looks whether the worker has gone silent.
BUSY_TICK_MS = 50
# What is left of the grace for stopping runs and for telling their ends.
STOP_RESERVE_MS = 900
LAST_WORDS_MS = 150
EXIT_RESERVE_MS = 250


class BurstAgentCore:
    """The agent's state and its rules."""

    def __init__(self, state: BurstAgentState) -> None:
        """Drive this state."""
        self.state = state
        # The clock as last heard of.
        self.now_ms = 0
        self.ticked_ms: int | None = None

    def handle(self, event: object, sender: str, now_ms: int) -> list[BurstEffect]:
        """Apply an event from a link (``sender``) or from the process."""
        self.now_ms = now_ms
        handle_agent_event(event, self.state, sender, now_ms)
        return self.take_effects()

    def conclude(self, now_ms: int) -> list[BurstEffect]:
        """Call the worker and tell its room, once for all events of a pass."""
        agent_worker.request_hold(self.state, now_ms)
        agent_links.push_room(self.state, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[BurstEffect]:
        """Apply what is due by the clock."""
        state = self.state
        last_ms = self.ticked_ms
        if last_ms is not None and now_ms - last_ms > timing.PAUSE_MS:
            state.resumed_ms = now_ms
        self.now_ms = now_ms
        self.ticked_ms = now_ms
        agent_worker.check_worker(state, now_ms)
        agent_links.check_owners(state, now_ms)
        if now_ms >= state.next_review_ms:
            agent_membership.review_links(state, now_ms)
        agent_links.send_beats(state, now_ms)
        if state.leaving_ms is not None:
            self.leave(state.leaving_ms, now_ms)
        return self.take_effects()

    def leave(self, since_ms: int, now_ms: int) -> None:
        """Finish what runs within the grace, then exit."""
        state = self.state
        elapsed_ms = now_ms - since_ms
        if state.runs and elapsed_ms >= state.grace_ms - STOP_RESERVE_MS:
            for run in list(state.runs.values()):
                agent_runs.begin_stop(state, run, "agent is stopping")
        idle = not state.runs and not state.hold_pending
        told = now_ms - max(since_ms, state.last_end_ms) >= LAST_WORDS_MS
        if (idle and told) or elapsed_ms >= state.grace_ms - EXIT_RESERVE_MS:
            state.effects.append(Exit("drained" if idle else "grace is over"))

    def tick_interval_ms(self) -> int:
        """Return how long the next tick may wait.

        Most of an agent's time is waiting: it is woken when something is due.
        """
        return max(1, self.next_due_ms() - self.now_ms)

    def next_due_ms(self) -> int:
        """Return when the clock next has something to do."""
        state = self.state
        due_ms = [self.now_ms + IDLE_TICK_MS, state.next_review_ms]
        if state.room_due_ms is not None:
            due_ms.append(state.room_due_ms)
        if not state.hold_pending and state.next_hold_ms > self.now_ms:
            due_ms.append(state.next_hold_ms)
        if state.leaving_ms is not None:
            due_ms.append(self.now_ms + timing.TICK_MS)
        due_ms.extend(beat_ms for _, beat_ms in agent_links.beats_due(state))
        for run in state.runs.values():
            due_ms.append(state.owners[run.owner].alive_until_ms + 1)
            if run.stop_due_ms is not None:
                due_ms.append(run.stop_due_ms)
        if state.runs:
            due_ms.append(self.now_ms + BUSY_TICK_MS)
        return min(due_ms)

    def take_effects(self) -> list[BurstEffect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects
