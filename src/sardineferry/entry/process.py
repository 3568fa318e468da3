"""The process of an entry: starts its parts and performs effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.client_budget import ClientBudget
from sardineferry.client_budget import client_budget
from sardineferry.core_loop import CoreLoop
from sardineferry.decision import effects
from sardineferry.decision.claims import CLAIM_STREAM
from sardineferry.decision.entry.dump import dump_entry
from sardineferry.decision.events import Drain
from sardineferry.decision.preset import CONFIG_STREAM
from sardineferry.entry.application import EntryApplication
from sardineferry.entry.requests import MAX_BODY_BYTES
from sardineferry.logs import part_logger
from sardineferry.loop import ClientGuard
from sardineferry.messages.wire import CODEC
from sardineferry.platform.log_tail import LogTail
from sardineferry.platform.store import StoreClient
from sardineferry.signals import SignalHandlers
from sardineferry.state_dump import print_dump
from sardineferry.statsd_reporter import StatsdReporter
from sardineferry.transport import UNREAD_LINK_BYTES
from sardineferry.transport import DialerPool
from sardineferry.transport import LinkListener
from sardineferry.web import HttpLimits
from sardineferry.web import HttpServer

if TYPE_CHECKING:
    from random import Random

    from sardineferry.decision.entry import EntryCore
    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.settings import EntrySettings
    from sardineferry.transport import LinkRegistry

__all__ = ["EntryProcess", "entry_client_budget"]

CONFIG_POLL_INTERVAL_MS = 500
CLAIM_POLL_INTERVAL_MS = 1_000
# Longer than the longest time budget of a job, which is 300 s.
DRAIN_TIMEOUT_S = 330.0
# Time to send queued responses once the core has exited.
FLUSH_DELAY_S = 0.3
# More than one, as health checks, operators and idle callers need connections, too.
CONNECTIONS_PER_WAITING_CALLER = 4

logger = part_logger("entry")


def caller_limits(settings: EntrySettings) -> HttpLimits:
    """Return the limits of the server for callers."""
    connections = CONNECTIONS_PER_WAITING_CALLER * settings.http_threads
    return HttpLimits(
        body_bytes=MAX_BODY_BYTES, connections=connections, backlog=connections
    )


def entry_client_budget(settings: EntrySettings) -> ClientBudget:
    """Return what clients' input and jobs may take of an entry's memory."""
    limits = caller_limits(settings)
    return client_budget(
        settings.memory_mb,
        limits.connections,
        limits.body_bytes,
        limits.unread_bytes() + UNREAD_LINK_BYTES,
    )


class EntryProcess:
    """Runs an entry."""

    def __init__(
        self,
        settings: EntrySettings,
        core: EntryCore,
        loop: IoLoop,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
    ) -> None:
        """Build the parts and bind the addresses; nothing is started.

        Raises:
            AddressError: An address can't be bound.

        """
        self.settings = settings
        self.core = core
        self.loop = loop
        self.mailbox = mailbox
        self.links = links
        self.application = EntryApplication(
            loop, mailbox, settings.teams, self.dump, settings.http_threads
        )
        self.application.current_preset = self.current_preset
        budget = entry_client_budget(settings)
        guard = ClientGuard(
            loop,
            budget.held_bytes,
            core.state.counters,
            large_buffers_bytes=budget.large_buffers_bytes,
        )
        self.listener = LinkListener(
            loop, settings.listen, CODEC, mailbox, links, guard
        )
        self.caller_server = HttpServer(
            loop,
            settings.http,
            self.application.handle,
            caller_limits(settings),
            guard,
        )
        store = StoreClient(loop, settings.log)
        self.tails = {
            CONFIG_STREAM: LogTail(
                loop, CONFIG_STREAM, store, mailbox, CONFIG_POLL_INTERVAL_MS
            ),
            CLAIM_STREAM: LogTail(
                loop, CLAIM_STREAM, store, mailbox, CLAIM_POLL_INTERVAL_MS
            ),
        }
        self.dialers = DialerPool(loop, CODEC, mailbox, links, random)
        self.core_loop = CoreLoop(
            core,
            mailbox,
            self.perform,
            links,
            self.leave,
            counters=core.state.counters,
        )
        self.statsd_reporter = StatsdReporter(
            settings.statsd, f"entry.{settings.name}", core.state.counters
        )
        self.signals = SignalHandlers(self.drain, lambda: print_dump(self.dump()))

    def start(self) -> None:
        """Start every part."""
        for tail in self.tails.values():
            tail.start()
        self.listener.start()
        self.caller_server.start()
        for address in self.settings.peers:
            self.dialers.dial(address)
        self.statsd_reporter.start(self.loop)
        self.loop.pass_hooks.append(self.core_loop)
        logger.info(
            "Entry %s listens for callers on port %d and for links on port %d.",
            self.settings.name,
            self.caller_server.port,
            self.listener.port,
        )

    def run(self) -> None:
        """Serve until a signal asks to drain and all jobs have ended."""
        self.signals.install(self.loop)
        self.start()
        self.loop.run()

    def drain(self) -> None:
        """Finish all jobs, then stop.

        Readiness checks fail at once. New jobs are refused only after a delay, so
        that load balancers notice first and send them to other entries.
        """
        if self.application.leaving:
            return
        logger.info("Draining.")
        self.application.leaving = True
        linger_s = self.settings.drain_linger_ms / 1_000
        self.loop.call_later(linger_s, lambda: self.mailbox.put(Drain("signal")))
        self.loop.call_later(linger_s + DRAIN_TIMEOUT_S, self.core_loop.force_exit)

    def leave(self) -> None:
        """Close all links, and stop after a delay in which responses are sent."""
        logger.info("Core exited; stopping.")
        self.dialers.stop()
        self.links.close_all()
        self.listener.stop()
        self.loop.call_later(FLUSH_DELAY_S, self.loop.stop)

    def dump(self) -> str:
        """Return the core's state as JSON."""
        return dump_entry(self.core.state)

    def current_preset(self) -> tuple[int, str]:
        """Return the version and name of the preset in force."""
        preset = self.core.state.preset
        return preset.version, preset.name

    @singledispatchmethod
    def perform(self, effect: effects.Effect) -> None:
        """Perform an effect.

        Raises:
            TypeError: There is no handler for the type of the effect.

        """
        raise TypeError(f"no handler for effect {type(effect).__name__}")

    @perform.register(effects.Answer)
    @perform.register(effects.PresetAnswer)
    @perform.register(effects.DumpAnswer)
    def answer(
        self, effect: effects.Answer | effects.PresetAnswer | effects.DumpAnswer
    ) -> None:
        """Answer a waiting HTTP request."""
        self.application.answer(effect)

    @perform.register
    def connect(self, effect: effects.Connect) -> None:
        """Open a link to another entry."""
        self.dialers.dial(effect.address)

    @perform.register
    def disconnect(self, effect: effects.Disconnect) -> None:
        """Close the link to an entry and stop dialling it.

        Links to entries that the settings name are kept.
        """
        if effect.address in self.settings.peers:
            return
        self.dialers.drop(effect.address)

    @perform.register
    def append(self, effect: effects.Append) -> None:
        """Append a record to its stream of the log."""
        self.tails[effect.stream].append(effect)
