"""Wires the threads of an agent together and carries out effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.agent.target_client import TargetClient
from sardineferry.agent.usage_poll import UsagePoll
from sardineferry.core_loop import CoreLoop
from sardineferry.decision import effects
from sardineferry.decision.agent.dump import dump_agent
from sardineferry.decision.cost import total_units
from sardineferry.decision.events import Drain
from sardineferry.logs import part_logger
from sardineferry.metrics import MetricsReporter
from sardineferry.signals import SignalWatch
from sardineferry.state_dump import print_dump
from sardineferry.state_dump import read_torn
from sardineferry.transport import DialerPool

if TYPE_CHECKING:
    from random import Random

    from sardineferry.decision.agent import AgentCore
    from sardineferry.mailbox import Mailbox
    from sardineferry.settings import AgentSettings
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["AgentProcess"]

STEP_S = 0.5
DRAIN_LIMIT_S = 330.0

logger = part_logger("agent")


class AgentProcess:
    """Owns the threads of an agent."""

    def __init__(
        self,
        settings: AgentSettings,
        core: AgentCore,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
    ) -> None:
        """Prepare the threads."""
        self.settings = settings
        self.core = core
        self.mailbox = mailbox
        self.links = links
        self.target = TargetClient(
            settings.target, total_units(settings.shape), mailbox
        )
        self.usage = UsagePoll(settings.target, mailbox)
        self.dialers = DialerPool(mailbox, links, random)
        self.loop = CoreLoop(core, mailbox, self.perform, links)
        self.metrics = MetricsReporter(
            settings.statsd, f"agent.{settings.name}", core.state.counters
        )
        self.signals = SignalWatch(lambda: print_dump(self.dump))

    def start(self) -> None:
        """Start every thread."""
        self.loop.start()
        for address in self.settings.entries:
            self.dialers.dial(address)
        if self.settings.shape.kind == "worker":
            self.usage.start()
        self.metrics.start()
        logger.info(
            "Agent {} stands beside the {} at {}.",
            self.settings.name,
            self.settings.shape.kind,
            self.settings.target,
        )

    def run(self) -> None:
        """Serve until a signal or an operator asks to drain."""
        self.signals.install()
        self.start()
        while not self.signals.wait_for_drain(STEP_S):
            if self.loop.exited.is_set():
                break
        self.drain()

    def drain(self) -> None:
        """Finish what runs, let answers leave, then stop."""
        logger.info("Draining.")
        self.mailbox.put(Drain("signal"))
        self.loop.exited.wait(DRAIN_LIMIT_S)
        self.dialers.stop()
        self.links.close_all()
        self.dialers.join()
        logger.info("Left; nothing was in flight.")

    def dump(self) -> str:
        """Return the state as JSON; read without a lock, retried if torn."""
        return read_torn(lambda: dump_agent(self.core.state))

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
