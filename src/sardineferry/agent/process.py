"""Wires the parts of an agent together and carries out effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.agent.target_client import TargetClient
from sardineferry.agent.usage_poll import UsagePoll
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

DRAIN_LIMIT_S = 330.0
# For what is on its way to entries when the core has ended.
FLUSH_S = 0.3

logger = part_logger("agent")


class AgentProcess:
    """Owns the parts of an agent."""

    def __init__(
        self,
        settings: AgentSettings,
        core: AgentCore,
        loop: IoLoop,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
    ) -> None:
        """Prepare the parts."""
        self.settings = settings
        self.core = core
        self.loop = loop
        self.mailbox = mailbox
        self.links = links
        self.target = TargetClient(
            loop, settings.target, total_units(settings.shape), mailbox
        )
        self.usage = UsagePoll(loop, settings.target, mailbox)
        self.dialers = DialerPool(loop, CODEC, mailbox, links, random)
        self.core_loop = CoreLoop(core, mailbox, self.perform, links, self.leave)
        self.metrics = StatsdReporter(
            settings.statsd, f"agent.{settings.name}", core.state.counters
        )
        self.signals = SignalHandlers(self.drain, lambda: print_dump(self.dump()))

    def start(self) -> None:
        """Start every part."""
        for address in self.settings.entries:
            self.dialers.dial(address)
        if self.settings.shape.kind == "worker":
            self.usage.start()
        self.metrics.start(self.loop)
        self.loop.pass_hooks.append(self.core_loop)
        logger.info(
            "Agent %s stands beside the %s at %s.",
            self.settings.name,
            self.settings.shape.kind,
            self.settings.target,
        )

    def run(self) -> None:
        """Serve until a signal or an operator asks to drain."""
        self.signals.install(self.loop)
        self.start()
        self.loop.run()

    def drain(self) -> None:
        """Finish what runs, let answers leave, then stop."""
        logger.info("Draining.")
        self.mailbox.put(Drain("signal"))
        self.loop.call_later(DRAIN_LIMIT_S, self.core_loop.force_exit)

    def leave(self) -> None:
        """Stop once answers are on their way."""
        logger.info("Left; nothing was in flight.")
        self.dialers.stop()
        self.links.close_all()
        self.loop.call_later(FLUSH_S, self.loop.stop)

    def dump(self) -> str:
        """Return the state as JSON."""
        return dump_agent(self.core.state)

    @singledispatchmethod
    def perform(self, effect: effects.Effect) -> None:
        """Carry out an effect; unknown kinds are a programming error."""
        raise TypeError(f"no way to perform {type(effect).__name__}")

    @perform.register
    def run_task(self, effect: effects.RunTask) -> None:
        """Call the target."""
        self.target.run(effect)

    @perform.register
    def connect(self, effect: effects.Connect) -> None:
        """Open a link to an entry learned of."""
        self.dialers.dial(effect.address)

    @perform.register
    def disconnect(self, effect: effects.Disconnect) -> None:
        """Dial an address no longer."""
        self.dialers.drop(effect.address)

    @perform.register
    def stop_task(self, effect: effects.StopTask) -> None:
        """Stop a task at the target."""
        self.target.control("stop", effect.attempt)

    @perform.register
    def throttle_task(self, effect: effects.ThrottleTask) -> None:
        """Throttle a task at the worker."""
        self.target.control("throttle", effect.attempt)

    @perform.register
    def checkpoint_task(self, effect: effects.CheckpointTask) -> None:
        """Checkpoint a task at the worker."""
        self.target.control("checkpoint", effect.attempt)
