"""What the processes for burst jobs have in common: signals, links, logs."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Protocol

from sardineferry.core_loop import CoreLoop
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.common_events import Drain
from sardineferry.logs import part_logger
from sardineferry.signals import SignalWatch

if TYPE_CHECKING:
    from sardineferry.burst.settings_watch import SettingsWatch
    from sardineferry.core_loop import Core
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.exposition import Exposition
    from sardineferry.logs import LineWriter
    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.transport import LinkRegistry

__all__ = ["MS_PER_S", "BurstProgram", "Startable"]

# Between looks at the settings file.
SETTINGS_CHECK_S = 0.5
MS_PER_S = 1_000


class Startable(Protocol):
    """Something that goes on by itself once started."""

    def start(self) -> None:
        """Begin."""


class CommonParts(Protocol):
    """The parts that every process has."""

    @property
    def loop(self) -> IoLoop:
        """Where everything runs."""

    @property
    def mailbox(self) -> Mailbox:
        """The inbox of the core."""

    @property
    def links(self) -> LinkRegistry:
        """The open links."""

    @property
    def exposition(self) -> Exposition:
        """Where metrics are served."""

    @property
    def log(self) -> LineWriter:
        """Where decisions are written."""

    @property
    def settings_watch(self) -> SettingsWatch:
        """What notices new settings."""


class BurstProgram:
    """Runs a core until a signal asks to drain."""

    def __init__(self, name: str, core: Core[BurstEffect], parts: CommonParts) -> None:
        """Name the process for its log lines; start nothing."""
        self.name = name
        self.common = parts
        self.logger = part_logger(name)
        self.core_loop: CoreLoop[BurstEffect] = CoreLoop(
            core, parts.mailbox, self.perform, parts.links, self.leave
        )
        self.signals = SignalWatch(self.begin_drain, reload=parts.settings_watch.reload)

    def start(self) -> None:
        """Start every part.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError

    def begin_drain(self) -> None:
        """Ask the core to finish what is in flight and leave."""
        self.common.mailbox.put(Drain("signal"))
        grace_s = self.common.settings_watch.settings.grace_ms / MS_PER_S
        self.common.loop.call_later(grace_s, self.core_loop.give_up)

    def leave(self) -> None:
        """End every part once the core has.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError

    def run(self) -> None:
        """Serve until a signal asks to drain, then finish and leave."""
        parts = self.common
        self.signals.install(parts.loop)
        self.start()
        parts.loop.pass_hooks.append(self.core_loop)
        parts.loop.call_every(SETTINGS_CHECK_S, parts.settings_watch.check)
        parts.loop.run()
        parts.log.write_waiting()

    def log_started(self, **fields: object) -> None:
        """Log that the process serves, and the processor time that it took."""
        fields["processor_ms"] = int(time.process_time() * MS_PER_S)
        self.logger.info("Started.", extra={"fields": fields})

    def end_after(self, delay_s: float) -> None:
        """End the loop after a delay, in which what was sent leaves."""
        self.logger.info("Stopped.")
        self.common.loop.call_later(delay_s, self.common.loop.stop)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Carry out an effect; unknown kinds are a programming error."""
        raise TypeError(f"no way to perform {type(effect).__name__}")

    @perform.register
    def drop_link(self, effect: DropLink) -> None:
        """End a silent link."""
        self.common.links.abort(effect.name)

    @perform.register
    def log_decision(self, effect: LogDecision) -> None:
        """Write a log line."""
        self.common.log.put_decision(self.name, effect.event, effect.fields)

    @perform.register
    def observe(self, effect: ObserveLatency) -> None:
        """Count a latency."""
        self.common.exposition.observe(effect.what, effect.outcome, effect.elapsed_ms)
