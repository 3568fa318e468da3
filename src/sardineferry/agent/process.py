"""The process of an agent: starts its parts and performs effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.agent.target_client import TargetClient
from sardineferry.agent.usage_poller import UsagePoller
from sardineferry.core_loop import CoreLoop
from sardineferry.decision import effects
from sardineferry.decision.agent.dump import dump_agent
from sardineferry.decision.capacity_units import total_units
from sardineferry.decision.events import Drain
from sardineferry.logs import part_logger
from sardineferry.messages.wire import CODEC
from sardineferry.signals import SignalHandlers
from sardineferry.state_dump import print_dump
from sardineferry.statsd_reporter import StatsdReporter
from sardineferry.transport import DialerPool

if TYPE_CHECKING:
    from random import Random

    from sardineferry.decision.agent import AgentCore
    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.settings import AgentSettings
    from sardineferry.transport import LinkRegistry

__all__ = ["AgentProcess"]

# Longer than the longest time budget of a job, which is 300 s.
DRAIN_TIMEOUT_S = 330.0
# Time to send queued messages to entries once the core has exited.
FLUSH_DELAY_S = 0.3

logger = part_logger("agent")


class AgentProcess:
    """Runs an agent."""

    def __init__(
        self,
        settings: AgentSettings,
        core: AgentCore,
        loop: IoLoop,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
    ) -> None:
        """Build the parts; nothing is started."""
        self.settings = settings
        self.core = core
        self.loop = loop
        self.mailbox = mailbox
        self.links = links
        self.target_client = TargetClient(
            loop, settings.target, total_units(settings.shape), mailbox
        )
        self.usage_poller = UsagePoller(loop, settings.target, mailbox)
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
            settings.statsd, f"agent.{settings.name}", core.state.counters
        )
        self.signals = SignalHandlers(self.drain, lambda: print_dump(self.dump()))

    def start(self) -> None:
        """Start every part."""
        for address in self.settings.entries:
            self.dialers.dial(address)
        if self.settings.shape.kind == "worker":
            self.usage_poller.start()
        self.statsd_reporter.start(self.loop)
        self.loop.pass_hooks.append(self.core_loop)
        logger.info(
            "Agent %s serves the %s at %s.",
            self.settings.name,
            self.settings.shape.kind,
            self.settings.target,
        )

    def run(self) -> None:
        """Serve until a signal or an operator asks to drain and all tasks are over."""
        self.signals.install(self.loop)
        self.start()
        self.loop.run()

    def drain(self) -> None:
        """Ask the core to finish its tasks and exit; force it after the timeout."""
        logger.info("Draining.")
        self.mailbox.put(Drain("signal"))
        self.loop.call_later(DRAIN_TIMEOUT_S, self.core_loop.force_exit)

    def leave(self) -> None:
        """Close all links, and stop after a delay in which queued messages are sent."""
        logger.info("Core exited; stopping.")
        self.dialers.stop()
        self.links.close_all()
        self.loop.call_later(FLUSH_DELAY_S, self.loop.stop)

    def dump(self) -> str:
        """Return the core's state as JSON."""
        return dump_agent(self.core.state)

    @singledispatchmethod
    def perform(self, effect: effects.Effect) -> None:
        """Perform an effect.

        Raises:
            TypeError: There is no handler for the type of the effect.

        """
        raise TypeError(f"no handler for effect {type(effect).__name__}")

    @perform.register
    def run_task(self, effect: effects.RunTask) -> None:
        """Run a task on the target."""
        self.target_client.run(effect)

    @perform.register
    def connect(self, effect: effects.Connect) -> None:
        """Open a link to an entry."""
        self.dialers.dial(effect.address)

    @perform.register
    def disconnect(self, effect: effects.Disconnect) -> None:
        """Close the link to an entry and stop dialling it."""
        self.dialers.drop(effect.address)

    @perform.register
    def stop_task(self, effect: effects.StopTask) -> None:
        """Stop a task on the target."""
        self.target_client.send_control("stop", effect.attempt)

    @perform.register
    def throttle_task(self, effect: effects.ThrottleTask) -> None:
        """Throttle a task on the worker."""
        self.target_client.send_control("throttle", effect.attempt)

    @perform.register
    def checkpoint_task(self, effect: effects.CheckpointTask) -> None:
        """Checkpoint a task on the worker."""
        self.target_client.send_control("checkpoint", effect.attempt)
