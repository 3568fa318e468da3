"""The process of an agent for burst jobs: starts its parts and performs effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from sardineferry.burst.process import BurstProcess
from sardineferry.burst.process import Startable
from sardineferry.burst.settings_watch import SettingsWatch
from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.common_effects import Connect
from sardineferry.decision.common_effects import Disconnect
from sardineferry.decision.common_events import AddressesRead
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

# Time to send queued messages to entries once the core has exited.
FLUSH_DELAY_S = 0.1


class OrderSender(Protocol):
    """Sends an agent's orders to its worker."""

    def perform(self, order: object) -> None:
        """Send an order to the worker; its answer is put into the mailbox."""


class AgentParts(NamedTuple):
    """The parts of an agent's process."""

    loop: IoLoop
    core: BurstAgentCore
    mailbox: Mailbox
    links: LinkRegistry
    dialers: DialerPool
    worker_client: OrderSender
    heartbeat_server: HttpServer
    background_parts: tuple[Startable, ...]
    metrics_server: MetricsServer
    log: LogWriter
    settings_watch: SettingsWatch


class BurstAgentProcess(BurstProcess):
    """Runs an agent for burst jobs."""

    def __init__(self, parts: AgentParts) -> None:
        """Use these parts; their addresses are bound, nothing is started."""
        super().__init__("agent", parts.core, parts)
        self.parts = parts

    def start(self) -> None:
        """Start every part."""
        parts = self.parts
        parts.heartbeat_server.start()
        parts.mailbox.put(AddressesRead(parts.settings_watch.settings.entry_links))
        for part in parts.background_parts:
            part.start()
        parts.metrics_server.start()
        state = parts.core.state
        self.log_started(
            name=state.name, incarnation=state.incarnation, token=state.fencing_token
        )

    def leave(self) -> None:
        """Close all links, and stop after a delay in which queued messages are sent."""
        self.parts.dialers.stop()
        self.parts.links.close_all()
        self.stop_after(FLUSH_DELAY_S)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Perform an effect; the base class performs those that processes share."""
        super().perform(effect)

    @perform.register(StartRun)
    @perform.register(StopRun)
    @perform.register(HoldWorker)
    def call_worker(self, effect: StartRun | StopRun | HoldWorker) -> None:
        """Send the worker an order."""
        self.parts.worker_client.perform(effect)

    @perform.register
    def connect(self, effect: Connect) -> None:
        """Open a link to an entry."""
        self.parts.dialers.dial(effect.address)

    @perform.register
    def disconnect(self, effect: Disconnect) -> None:
        """Close the link to an entry and stop dialling it."""
        self.parts.dialers.drop(effect.address)
