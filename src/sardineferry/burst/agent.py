"""Wires the threads of an agent for burst jobs and carries out effects."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.core_loop import CoreLoop
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.effects import Connect
from sardineferry.decision.events import AddressesRead
from sardineferry.decision.events import Drain
from sardineferry.logs import part_logger
from sardineferry.signals import SignalWatch

if TYPE_CHECKING:
    from sardineferry.burst.parts import AgentParts
    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["BurstAgentProcess"]

STEP_S = 0.5
# For what is on its way to entries when the core has ended.
FLUSH_S = 0.1

logger = part_logger("agent")


class BurstAgentProcess:
    """Owns the threads of an agent."""

    def __init__(self, parts: AgentParts) -> None:
        """Take the parts; their addresses are bound, their threads not started."""
        self.parts = parts
        self.loop: CoreLoop[BurstEffect] = CoreLoop(
            parts.core, parts.mailbox, self.perform, parts.links
        )
        self.signals = SignalWatch(lambda: None, parts.settings_watch.reload)

    def start(self) -> None:
        """Start every thread."""
        parts = self.parts
        self.loop.start()
        parts.orders.start()
        parts.holds.start()
        parts.reports.start()
        parts.mailbox.put(AddressesRead(parts.settings_watch.settings.entry_links))
        for watch in parts.watches:
            watch.start()
        parts.exposition.start()
        state = parts.core.state
        logger.bind(
            name=state.name,
            incarnation=state.incarnation,
            token=state.fencing_token,
        ).info("Started.")

    def run(self) -> None:
        """Serve until a signal asks to drain, then finish and leave."""
        self.signals.install()
        self.start()
        while not self.signals.wait_for_drain(STEP_S):
            self.parts.settings_watch.check()
        self.drain()

    def drain(self) -> None:
        """Finish what runs within the grace, then stop."""
        parts = self.parts
        parts.mailbox.put(Drain("signal"))
        self.loop.exited.wait(parts.settings_watch.settings.grace_ms / 1_000)
        parts.dialers.stop()
        parts.links.close_all()
        logger.info("Stopped.")
        time.sleep(FLUSH_S)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Carry out an effect; unknown kinds are a programming error."""
        raise TypeError(f"no way to perform {type(effect).__name__}")

    @perform.register(StartRun)
    @perform.register(StopRun)
    def order(self, effect: StartRun | StopRun) -> None:
        """Hand an order to the threads that call the worker."""
        self.parts.orders.put(effect)

    @perform.register
    def hold(self, effect: HoldWorker) -> None:
        """Hand a hold to its thread."""
        self.parts.holds.put(effect)

    @perform.register
    def connect(self, effect: Connect) -> None:
        """Open a link to an entry."""
        self.parts.dialers.dial(effect.address)

    @perform.register
    def drop_link(self, effect: DropLink) -> None:
        """End a silent link; it is dialled anew."""
        self.parts.links.abort(effect.name)

    @perform.register
    def log_decision(self, effect: LogDecision) -> None:
        """Write a log line."""
        logger.bind(**effect.fields).info(effect.event)

    @perform.register
    def observe(self, effect: ObserveLatency) -> None:
        """Count a latency."""
        self.parts.exposition.observe(effect.what, effect.outcome, effect.elapsed_ms)
