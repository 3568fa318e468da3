"""The decision core of an entry for burst jobs: takes events, returns effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import entry_agents
from sardineferry.decision.burst import entry_callers
from sardineferry.decision.burst import entry_cancellations
from sardineferry.decision.burst import entry_config
from sardineferry.decision.burst import entry_other_runs
from sardineferry.decision.burst import entry_placement
from sardineferry.decision.burst import entry_relay
from sardineferry.decision.burst import rejected_orders
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_state import BurstEntryState
from sardineferry.decision.burst.evacuation import entry_handlers as evacuation_handlers
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import ShowJob
from sardineferry.decision.burst.requests import ShowQueue
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.common_effects import Exit
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import EntryLeft

if TYPE_CHECKING:
    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["HANDLER_MODULES", "BurstEntryCore", "BurstEntryState"]

# Importing these modules registers their event handlers.
HANDLER_MODULES = (
    entry_agents,
    entry_callers,
    entry_cancellations,
    entry_config,
    entry_other_runs,
    entry_relay,
    evacuation_handlers,
    rejected_orders,
)

CALLER_REQUESTS = (CancelJob, ShowJob, ShowQueue, SubmitJob)

IDLE_TICK_INTERVAL_MS = 200
# With active jobs, ticks also finish those that have waited too long and detect lost
# agents. Placement needs no shorter interval, as events trigger it.
BUSY_TICK_INTERVAL_MS = 40
# The load balancer checks once a second and removes an entry after two failures;
# until then a draining entry still gets requests.
BALANCER_REMOVAL_MS = 2_500
# A draining entry finishes its remaining jobs when this much of the grace period is
# left.
FINISH_RESERVE_MS = 700
# A draining entry exits when this much of the grace period is left.
EXIT_RESERVE_MS = 300


class BurstEntryCore:
    """Applies events and the clock to an entry's state and returns the effects."""

    def __init__(self, state: BurstEntryState) -> None:
        """Use this state."""
        self.state = state
        self.last_tick_ms: int | None = None
        # The time of the last event, conclusion or tick.
        self.now_ms = 0

    def handle(self, event: object, sender: str, now_ms: int) -> list[BurstEffect]:
        """Apply an event from the link ``sender``, or from the process itself.

        If a handler of a caller's request fails, the caller gets no answer at once,
        instead of waiting for it.
        """
        self.now_ms = now_ms
        try:
            handle_entry_event(event, self.state, sender, now_ms)
        except Exception:
            if isinstance(event, CALLER_REQUESTS):
                # The request may have been processed in part.
                reply = BurstReply(event.token, ReplyKind.NO_ANSWER, "internal error")
                self.state.effects.append(reply)
            raise
        return self.take_effects()

    def conclude(self, now_ms: int, inputs_ms: int) -> list[BurstEffect]:
        """Place waiting tasks and send echoes after all events of a pass were applied.

        Runs are ordered and kept going only here, as any event of the pass may end a
        job. Orders are valid from ``inputs_ms`` on: what arrived later, such as the end
        of a caller, has not been applied yet.
        """
        self.now_ms = now_ms
        self.state.inputs_ms = inputs_ms
        if self.state.caught_up_ms is None:
            self.state.caught_up_ms = inputs_ms
        entry_placement.place_waiting_tasks(self.state, now_ms)
        evacuation_handlers.review_after_evacuation(self.state, now_ms)
        entry_agents.send_due_echoes(self.state, now_ms)
        entry_relay.relay_news(self.state, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[BurstEffect]:
        """Apply what is due at this time."""
        state = self.state
        self.now_ms = now_ms
        previous_ms = self.last_tick_ms
        if previous_ms is not None and now_ms - previous_ms > timing.PAUSE_THRESHOLD_MS:
            state.resumed_ms = now_ms
            state.caught_up_ms = None
        self.last_tick_ms = now_ms
        if state.started_ms is None:
            state.started_ms = now_ms
        entry_agents.check_agents(state, now_ms)
        entry_callers.expire_callers(state, now_ms)
        entry_callers.expire_waiting_jobs(state, now_ms)
        state.effects.extend(state.config_relay.continue_transfers(now_ms))
        entry_relay.forget_silent_relays(state, now_ms)
        state.known_backlog.expire(now_ms)
        entry_other_runs.release_due_jobs(state, now_ms)
        state.placement_due = True
        if state.drain_started_ms is not None:
            self.continue_drain(state.drain_started_ms, now_ms)
        return self.take_effects()

    def continue_drain(self, drain_started_ms: int, now_ms: int) -> None:
        """Exit once no jobs are left and no more arrive, or when the grace is over.

        Jobs that remain shortly before the end of the grace period are finished,
        those that may have run without an answer.
        """
        state = self.state
        elapsed_ms = now_ms - drain_started_ms
        if elapsed_ms >= state.grace_ms - FINISH_RESERVE_MS:
            entry_callers.finish_all_jobs(state, now_ms)
        idle = not state.jobs and elapsed_ms >= BALANCER_REMOVAL_MS
        if idle or elapsed_ms >= state.grace_ms - EXIT_RESERVE_MS:
            message = EntryLeft(state.name)
            links = [view.name for view in state.agents.values() if view.linked]
            state.effects.extend(Send(link, message) for link in links)
            state.exiting = True
            state.effects.append(Exit("drained" if idle else "grace is over"))

    def exit_now(self, now_ms: int) -> list[BurstEffect]:
        """Finish all jobs and refuse later ones, if that has not been done yet."""
        self.state.exiting = True
        entry_callers.finish_all_jobs(self.state, now_ms)
        return self.take_effects()

    def tick_interval_ms(self) -> int:
        """Return the longest time until the next tick."""
        state = self.state
        if state.placement_unfinished:
            return 1
        busy = state.jobs or state.early_jobs or state.drain_started_ms is not None
        interval_ms = BUSY_TICK_INTERVAL_MS if busy else IDLE_TICK_INTERVAL_MS
        relay_due_ms = state.run_relay.next_due_ms()
        due_ms = min(relay_due_ms, state.next_refusal_ms)
        return int(max(1, min(interval_ms, due_ms - self.now_ms)))

    def take_effects(self) -> list[BurstEffect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects
