"""The base of the processes for burst jobs: handles signals, core loop and logs."""

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
from sardineferry.signals import SignalHandlers

if TYPE_CHECKING:
    from sardineferry.burst.settings_watch import SettingsWatch
    from sardineferry.core_loop import Core
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.logs import LogWriter
    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.metrics_server import MetricsServer
    from sardineferry.transport import LinkRegistry

__all__ = ["MS_PER_S", "BurstProcess", "Startable"]

# Time between two checks whether the settings file has changed.
SETTINGS_CHECK_INTERVAL_S = 0.5
MS_PER_S = 1_000


class Startable(Protocol):
    """A part that only needs to be started."""

    def start(self) -> None:
        """Start the part."""


class ProcessParts(Protocol):
    """The parts that ``BurstProcess`` uses; entries and agents have them all."""

    @property
    def loop(self) -> IoLoop:
        """The event loop that runs all parts."""

    @property
    def mailbox(self) -> Mailbox:
        """The events that wait for the core."""

    @property
    def links(self) -> LinkRegistry:
        """The open links to other processes."""

    @property
    def metrics_server(self) -> MetricsServer:
        """The server of the metrics."""

    @property
    def log(self) -> LogWriter:
        """The writer of log lines."""

    @property
    def settings_watch(self) -> SettingsWatch:
        """The current settings, which the watch reloads when the file changes."""


class BurstProcess:
    """Runs a core until it has drained after a signal, or its grace period is over."""

    def __init__(
        self,
        name: str,
        core: Core[BurstEffect],
        parts: ProcessParts,
        applies_late_events: bool = False,
    ) -> None:
        """Connect the core to the parts; ``name`` is the process's name in logs.

        ``applies_late_events`` is described at ``CoreLoop``.
        """
        self.name = name
        self.process_parts = parts
        self.logger = part_logger(name)
        self.core_loop: CoreLoop[BurstEffect] = CoreLoop(
            core,
            parts.mailbox,
            self.perform,
            parts.links,
            self.leave,
            applies_late_events,
            parts.metrics_server.counters,
            parts.metrics_server.latencies,
            lambda: parts.loop.polled_ms,
        )
        self.signals = SignalHandlers(self.drain, reload=parts.settings_watch.reload)

    def start(self) -> None:
        """Start every part.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError

    def drain(self) -> None:
        """Ask the core to drain and exit; force the exit after the grace period."""
        self.process_parts.mailbox.put(Drain("signal"))
        grace_s = self.process_parts.settings_watch.settings.grace_ms / MS_PER_S
        self.process_parts.loop.call_later(grace_s, self.core_loop.force_exit)

    def leave(self) -> None:
        """Close all links and stop, once the core has exited or was forced to.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError

    def run(self) -> None:
        """Serve until the core has drained after a signal, or was forced to exit."""
        parts = self.process_parts
        self.signals.install(parts.loop)
        self.start()
        parts.loop.pass_hooks.append(self.core_loop)
        parts.loop.call_every(SETTINGS_CHECK_INTERVAL_S, parts.settings_watch.check)
        parts.loop.run()
        parts.log.write_queued()

    def log_started(self, **fields: object) -> None:
        """Log that the process has started, and how much processor time that took."""
        fields["processor_ms"] = int(time.process_time() * MS_PER_S)
        self.logger.info("Started.", extra={"fields": fields})

    def stop_after(self, delay_s: float) -> None:
        """Stop the loop after a delay, in which queued messages are sent."""
        self.logger.info("Stopped.")
        self.process_parts.loop.call_later(delay_s, self.process_parts.loop.stop)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Perform an effect.

        Raises:
            TypeError: There is no handler for the type of the effect.

        """
        raise TypeError(f"no handler for effect {type(effect).__name__}")

    @perform.register
    def drop_link(self, effect: DropLink) -> None:
        """Abort a link whose peer is silent."""
        self.process_parts.links.abort(effect.name)

    @perform.register
    def log_decision(self, effect: LogDecision) -> None:
        """Queue a log line about a decision."""
        self.process_parts.log.queue_decision(self.name, effect.event, effect.fields)

    @perform.register
    def observe_latency(self, effect: ObserveLatency) -> None:
        """Add a latency to the metrics."""
        self.process_parts.metrics_server.observe(
            effect.what, effect.outcome, effect.elapsed_ms
        )
