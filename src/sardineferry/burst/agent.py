"""Wires the threads of an agent for burst jobs and carries out effects."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.burst.program import BurstProgram
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import RememberRoom
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.effects import Connect
from sardineferry.decision.events import AddressesRead

if TYPE_CHECKING:
    from sardineferry.burst.parts import AgentParts
    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["BurstAgentProcess"]

# For what is on its way to entries when the core has ended.
FLUSH_S = 0.1


class BurstAgentProcess(BurstProgram):
    """Owns the threads of an agent."""

    def __init__(self, parts: AgentParts) -> None:
        """Take the parts; their addresses are bound, their threads not started."""
        super().__init__("agent", parts.core, parts)
        self.parts = parts

    def start(self) -> None:
        """Start every thread."""
        parts = self.parts
        self.loop.start()
        parts.orders.start()
        parts.holds.start()
        parts.reports.start()
        parts.rooms.start()
        parts.mailbox.put(AddressesRead(parts.settings_watch.settings.entry_links))
        for watch in parts.watches:
            watch.start()
        parts.exposition.start()
        state = parts.core.state
        self.logger.bind(
            name=state.name,
            incarnation=state.incarnation,
            token=state.fencing_token,
        ).info("Started.")

    def stop(self) -> None:
        """Stop every thread; what is on its way to entries leaves first."""
        parts = self.parts
        parts.dialers.stop()
        parts.links.close_all()
        self.logger.info("Stopped.")
        time.sleep(FLUSH_S)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Carry out an effect."""
        super().perform(effect)

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
    def remember(self, effect: RememberRoom) -> None:
        """Hand the worker's room to the thread that keeps it."""
        self.parts.rooms.remember(effect.total)

    @perform.register
    def connect(self, effect: Connect) -> None:
        """Open a link to an entry."""
        self.parts.dialers.dial(effect.address)
