"""The decision core of an agent for burst jobs: takes events, returns effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import agent_links
from sardineferry.decision.burst import agent_membership
from sardineferry.decision.burst import agent_other_runs
from sardineferry.decision.burst import agent_runs
from sardineferry.decision.burst import agent_worker
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_dispatch import handle_agent_event
from sardineferry.decision.burst.agent_state import BurstAgentState
from sardineferry.decision.burst.evacuation import agent_handlers as evacuation_handlers
from sardineferry.decision.common_effects import Exit

if TYPE_CHECKING:
    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["HANDLER_MODULES", "BurstAgentCore", "BurstAgentState"]

# Importing these modules registers their event handlers.
HANDLER_MODULES = (
    agent_links,
    agent_membership,
    agent_runs,
    agent_worker,
    evacuation_handlers,
)

IDLE_TICK_INTERVAL_MS = 250
# With runs at the worker, ticks also check whether it has gone silent.
BUSY_TICK_INTERVAL_MS = 50
# A draining agent stops its runs when this much of the grace period is left.
STOP_RESERVE_MS = 900
# Time allowed for the report of a run's end to reach the entry.
FINAL_REPORT_MS = 150
# A draining agent exits when this much of the grace period is left.
EXIT_RESERVE_MS = 250


class BurstAgentCore:
    """Applies events and the clock to an agent's state and returns the effects."""

    def __init__(self, state: BurstAgentState) -> None:
        """Use this state."""
        self.state = state
        # The time of the last event or tick.
        self.now_ms = 0
        self.last_tick_ms: int | None = None

    def handle(self, event: object, sender: str, now_ms: int) -> list[BurstEffect]:
        """Apply an event from the link ``sender``, or from the process itself."""
        self.now_ms = now_ms
        handle_agent_event(event, self.state, sender, now_ms)
        return self.take_effects()

    def conclude(self, now_ms: int, _inputs_ms: int) -> list[BurstEffect]:
        """Send a hold, changes of runs and capacity updates after a pass's events.

        This starts no runs: ``handle`` starts them as soon as they are ordered.
        """
        agent_worker.request_hold(self.state, now_ms)
        agent_other_runs.report_changes(self.state, now_ms)
        agent_links.send_due_capacity_updates(self.state, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[BurstEffect]:
        """Apply what is due at this time."""
        state = self.state
        previous_ms = self.last_tick_ms
        if previous_ms is not None and now_ms - previous_ms > timing.PAUSE_THRESHOLD_MS:
            state.resumed_ms = now_ms
        self.now_ms = now_ms
        self.last_tick_ms = now_ms
        agent_worker.check_worker(state, now_ms)
        agent_links.check_entries(state, now_ms)
        agent_other_runs.find_lasting_runs(state, now_ms)
        if now_ms >= state.review_due_ms:
            agent_membership.review_links(state, now_ms)
        agent_links.send_due_heartbeats(state, now_ms)
        state.effects.extend(state.config_relay.continue_transfers(now_ms))
        if state.drain_started_ms is not None:
            self.continue_drain(state.drain_started_ms, now_ms)
        return self.take_effects()

    def continue_drain(self, drain_started_ms: int, now_ms: int) -> None:
        """Exit once the ends of all runs are reported, or when the grace is over.

        Runs that remain shortly before the end of the grace period are stopped.
        """
        state = self.state
        elapsed_ms = now_ms - drain_started_ms
        if state.runs and elapsed_ms >= state.grace_ms - STOP_RESERVE_MS:
            for run in list(state.runs.values()):
                agent_runs.begin_stop(state, run, "agent is stopping")
        idle = not state.runs and not state.hold_pending
        ends_delivered = (
            now_ms - max(drain_started_ms, state.last_end_ms) >= FINAL_REPORT_MS
        )
        if (idle and ends_delivered) or elapsed_ms >= state.grace_ms - EXIT_RESERVE_MS:
            state.effects.append(Exit("drained" if idle else "grace is over"))

    def tick_interval_ms(self) -> int:
        """Return the longest time until the next tick.

        An agent is mostly idle, so it wakes only when something is due.
        """
        return max(1, self.next_due_ms() - self.now_ms)

    def next_due_ms(self) -> int:
        """Return when the next timed action is due."""
        state = self.state
        due_ms = [self.now_ms + IDLE_TICK_INTERVAL_MS, state.review_due_ms]
        if state.capacity_update_due_ms is not None:
            due_ms.append(state.capacity_update_due_ms)
        if not state.hold_pending and state.hold_due_ms > self.now_ms:
            due_ms.append(state.hold_due_ms)
        if state.drain_started_ms is not None:
            due_ms.append(self.now_ms + timing.MAX_TICK_DELAY_MS)
        due_ms.extend(
            heartbeat_ms for _, heartbeat_ms in agent_links.heartbeat_due_times(state)
        )
        for run in state.runs.values():
            due_ms.append(run.permitted_until_ms + 1)
            if run.stop_due_ms is not None:
                due_ms.append(run.stop_due_ms)
        if state.runs:
            due_ms.append(self.now_ms + BUSY_TICK_INTERVAL_MS)
        return min(due_ms)

    def take_effects(self) -> list[BurstEffect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects
