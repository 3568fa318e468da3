"""The process of an entry for burst jobs: starts its parts and performs effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.burst.process import MS_PER_S
from sardineferry.burst.process import BurstProcess
from sardineferry.burst.process import Startable
from sardineferry.burst.settings_watch import SettingsWatch
from sardineferry.clock import now_ms
from sardineferry.decision.burst.effects import ApplyLimits
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.common_events import AddressesRead
from sardineferry.logs import LogWriter
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.metrics_server import MetricsServer
from sardineferry.pending_requests import PendingRequests
from sardineferry.transport import LinkListener
from sardineferry.transport import LinkRegistry
from sardineferry.web import HttpServer
from sardineferry.web import json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

__all__ = ["BurstEntryProcess", "EntryParts", "readiness_handler"]

# Time to send queued responses once the core has exited, and to refuse requests that
# arrive meanwhile.
FLUSH_DELAY_S = 0.3


class EntryParts(NamedTuple):
    """The parts of an entry's process.

    ``background_parts`` only need to be started: the watches of topics and the
    entry's registration.
    """

    loop: IoLoop
    core: BurstEntryCore
    mailbox: Mailbox
    links: LinkRegistry
    listener: LinkListener
    pending_requests: PendingRequests[BurstReply]
    caller_server: HttpServer
    readiness_server: HttpServer
    background_parts: tuple[Startable, ...]
    metrics_server: MetricsServer
    log: LogWriter
    settings_watch: SettingsWatch


def readiness_handler(
    state: BurstEntryState,
) -> Callable[[HttpRequest, Exchange], None]:
    """Return the HTTP handler of the load balancer's readiness checks."""

    def handle(_request: HttpRequest, exchange: Exchange) -> None:
        ready = state.ready()
        exchange.answer(json_response(200 if ready else 503, {"ready": ready}))

    return handle


class BurstEntryProcess(BurstProcess):
    """Runs an entry for burst jobs."""

    def __init__(self, parts: EntryParts) -> None:
        """Use these parts; their addresses are bound, nothing is started."""
        super().__init__("entry", parts.core, parts, applies_late_events=True)
        self.parts = parts

    def start(self) -> None:
        """Start every part; the servers for callers and for readiness come last."""
        parts = self.parts
        parts.listener.start()
        parts.mailbox.put(AddressesRead(parts.settings_watch.settings.entry_links))
        for part in parts.background_parts:
            part.start()
        parts.metrics_server.start()
        parts.caller_server.start()
        parts.readiness_server.start()
        state = parts.core.state
        self.log_started(name=state.name, incarnation=state.incarnation)

    def drain(self) -> None:
        """Drain the core, and close each caller's connection after its response."""
        self.parts.caller_server.close_after_responses()
        super().drain()

    def leave(self) -> None:
        """Close all links, and stop after a delay in which requests are refused.

        After a forced exit the core still has jobs, and some may have run.
        """
        self.core_loop.run_core("exit", lambda: self.parts.core.exit_now(now_ms()))
        self.core_loop.handle_late_events()
        self.parts.links.close_all()
        self.parts.listener.stop()
        self.stop_after(FLUSH_DELAY_S)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Perform an effect; the base class performs those that processes share."""
        super().perform(effect)

    @perform.register
    def reply(self, effect: BurstReply) -> None:
        """Answer a waiting HTTP request."""
        self.parts.pending_requests.answer(effect.token, effect)

    @perform.register
    def apply_limits(self, effect: ApplyLimits) -> None:
        """Apply size limits and timeouts to callers' requests."""
        limits = effect.limits
        server = self.parts.caller_server
        server.limits = server.limits._replace(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
        )
