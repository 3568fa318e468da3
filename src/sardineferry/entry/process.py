"""Wires the threads of an entry together and carries out effects."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.core_loop import CoreLoop
from sardineferry.decision import effects
from sardineferry.decision.claims import CLAIM_STREAM
from sardineferry.decision.entry.dump import dump_entry
from sardineferry.decision.events import Drain
from sardineferry.decision.preset import CONFIG_STREAM
from sardineferry.entry.application import EntryApplication
from sardineferry.entry.requests import BODY_LIMIT_BYTES
from sardineferry.http_server import HttpServer
from sardineferry.logs import part_logger
from sardineferry.metrics import MetricsReporter
from sardineferry.platform import LogTail
from sardineferry.signals import SignalWatch
from sardineferry.state_dump import print_dump
from sardineferry.state_dump import read_torn
from sardineferry.transport import DialerPool
from sardineferry.transport import Listener

if TYPE_CHECKING:
    from random import Random

    from sardineferry.decision.entry import EntryCore
    from sardineferry.mailbox import Mailbox
    from sardineferry.settings import EntrySettings
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["EntryProcess"]

CONFIG_POLL_MS = 500
CLAIM_POLL_MS = 1_000
DRAIN_LIMIT_S = 330.0
# Threads that never wait for jobs: for health checks and operators.
SPARE_THREADS = 8
STEP_S = 0.05

logger = part_logger("entry")


class EntryProcess:
    """Owns the threads of an entry."""

    def __init__(
        self,
        settings: EntrySettings,
        core: EntryCore,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
    ) -> None:
        """Bind the addresses.

        Raises:
            ListenerError: The link address can't be bound.
            HttpError: The HTTP address can't be bound.

        """
        self.settings = settings
        self.core = core
        self.mailbox = mailbox
        self.links = links
        self.application = EntryApplication(
            mailbox,
            settings.teams,
            self.dump,
            max(1, settings.http_threads - SPARE_THREADS),
        )
        self.application.preset = self.preset
        self.listener = Listener(settings.listen, mailbox, links)
        self.http = HttpServer(
            self.application, settings.http, settings.http_threads, BODY_LIMIT_BYTES
        )
        self.tails = {
            CONFIG_STREAM: LogTail(
                CONFIG_STREAM, settings.log, mailbox, CONFIG_POLL_MS
            ),
            CLAIM_STREAM: LogTail(CLAIM_STREAM, settings.log, mailbox, CLAIM_POLL_MS),
        }
        self.dialers = DialerPool(mailbox, links, random)
        self.loop = CoreLoop(core, mailbox, self.perform, links)
        self.metrics = MetricsReporter(
            settings.statsd, f"entry.{settings.name}", core.state.counters
        )
        self.signals = SignalWatch(lambda: print_dump(self.dump))

    def start(self) -> None:
        """Start every thread."""
        self.loop.start()
        for tail in self.tails.values():
            tail.start()
        self.listener.start()
        self.http.start()
        for address in self.settings.peers:
            self.dialers.dial(address)
        self.metrics.start()
        logger.info(
            "Entry {} serves callers on port {} and links on port {}.",
            self.settings.name,
            self.http.port,
            self.listener.port,
        )

    def run(self) -> None:
        """Serve until a signal asks to drain, then finish and leave."""
        self.signals.install()
        self.start()
        while not self.signals.wait_for_drain(STEP_S * 10):
            pass
        self.drain()

    def drain(self) -> None:
        """Take no more submissions, finish those in flight, then stop."""
        logger.info("Draining.")
        self.application.leaving = True
        time.sleep(self.settings.drain_linger_ms / 1_000)
        self.mailbox.put(Drain("signal"))
        self.loop.exited.wait(DRAIN_LIMIT_S)
        self.wait_for_callers()
        self.dialers.stop()
        self.links.close_all()
        self.listener.stop()
        self.http.stop()
        logger.info("Left; nothing was in flight.")

    def wait_for_callers(self) -> None:
        """Give waiting requests a moment to write their replies."""
        for _ in range(20):
            if not self.application.jobs.futures:
                break
            time.sleep(STEP_S)
        time.sleep(4 * STEP_S)

    def dump(self) -> str:
        """Return the state as JSON; read without a lock, retried if torn."""
        return read_torn(lambda: dump_entry(self.core.state))

    def preset(self) -> tuple[int, str]:
        """Return the version and name of the preset in force."""
        preset = self.core.state.preset
        return preset.version, preset.name

    @singledispatchmethod
    def perform(self, effect: effects.Effect) -> None:
        """Carry out an effect; unknown kinds are a programming error."""
        raise TypeError(f"no way to perform {type(effect).__name__}")

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
        """Open a link to an entry learned of."""
        self.dialers.dial(effect.address)

    @perform.register
    def disconnect(self, effect: effects.Disconnect) -> None:
        """Dial an address no longer, unless the settings name it."""
        if effect.address in self.settings.peers:
            return
        self.dialers.drop(effect.address)

    @perform.register
    def append(self, effect: effects.Append) -> None:
        """Hand a record to the thread of its stream."""
        self.tails[effect.stream].append(effect)
