"""What the processes for burst jobs have in common: signals, links, logs."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Protocol

from sardineferry.core_loop import CoreLoop
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.events import Drain
from sardineferry.logs import part_logger
from sardineferry.signals import SignalWatch

if TYPE_CHECKING:
    from sardineferry.burst.settings_watch import SettingsWatch
    from sardineferry.core_loop import Core
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.exposition import Exposition
    from sardineferry.logs import LineWriter
    from sardineferry.mailbox import Mailbox
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["MS_PER_S", "BurstProgram"]

# Between looks at the settings file.
STEP_S = 0.5
MS_PER_S = 1_000


class CommonParts(Protocol):
    """The parts that every process has."""

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
        self.loop: CoreLoop[BurstEffect] = CoreLoop(
            core, parts.mailbox, self.perform, parts.links
        )
        self.signals = SignalWatch(lambda: None, parts.settings_watch.reload)

    def start(self) -> None:
        """Start every thread.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError

    def begin_drain(self) -> None:
        """Prepare for leaving; nothing by default."""

    def stop(self) -> None:
        """Stop every thread once the core has ended.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError

    def run(self) -> None:
        """Serve until a signal asks to drain, then finish and leave."""
        self.signals.install()
        self.start()
        while not self.signals.wait_for_drain(STEP_S):
            self.common.settings_watch.check()
        self.begin_drain()
        self.common.mailbox.put(Drain("signal"))
        grace_ms = self.common.settings_watch.settings.grace_ms
        self.loop.exited.wait(grace_ms / MS_PER_S)
        self.stop()

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
