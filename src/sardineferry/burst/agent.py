"""Wires the parts of an agent for burst jobs and carries out effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from sardineferry.burst.program import BurstProgram
from sardineferry.burst.program import Startable
from sardineferry.burst.settings_watch import SettingsWatch
from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.link_effects import Connect
from sardineferry.decision.link_effects import Disconnect
from sardineferry.decision.link_events import AddressesRead
from sardineferry.logs import LogWriter
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.metrics_server import MetricsServer
from sardineferry.transport import DialerPool
from sardineferry.transport import LinkRegistry
from sardineferry.web import HttpServer

if TYPE_CHECKING:
    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["AgentParts", "BurstAgentProcess"]

# For what is on its way to entries when the core has ended.
FLUSH_S = 0.1


class WorkerCaller(Protocol):
    """Calls the worker beside an agent."""

    def perform(self, order: object) -> None:
        """Carry out an order; its answer goes to the mailbox."""


class AgentParts(NamedTuple):
    """What an agent is built of."""

    loop: IoLoop
    core: BurstAgentCore
    mailbox: Mailbox
    links: LinkRegistry
    dialers: DialerPool
    worker: WorkerCaller
    reports: HttpServer
    watches: tuple[Startable, ...]
    exposition: MetricsServer
    log: LogWriter
    settings_watch: SettingsWatch


class BurstAgentProcess(BurstProgram):
    """Owns the parts of an agent."""

    def __init__(self, parts: AgentParts) -> None:
        """Take the parts; their addresses are bound, nothing is started."""
        super().__init__("agent", parts.core, parts)
        self.parts = parts

    def start(self) -> None:
        """Start every part."""
        parts = self.parts
        parts.reports.start()
        parts.mailbox.put(AddressesRead(parts.settings_watch.settings.entry_links))
        for watch in parts.watches:
            watch.start()
        parts.exposition.start()
        state = parts.core.state
        self.log_started(
            name=state.name, incarnation=state.incarnation, token=state.fencing_token
        )

    def leave(self) -> None:
        """End every part; what is on its way to entries leaves first."""
        self.parts.dialers.stop()
        self.parts.links.close_all()
        self.end_after(FLUSH_S)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Carry out an effect."""
        super().perform(effect)

    @perform.register(StartRun)
    @perform.register(StopRun)
    @perform.register(HoldWorker)
    def order(self, effect: StartRun | StopRun | HoldWorker) -> None:
        """Call the worker."""
        self.parts.worker.perform(effect)

    @perform.register
    def connect(self, effect: Connect) -> None:
        """Open a link to an entry."""
        self.parts.dialers.dial(effect.address)

    @perform.register
    def disconnect(self, effect: Disconnect) -> None:
        """End the link to an entry, and dial it no longer."""
        self.parts.dialers.drop(effect.address)
