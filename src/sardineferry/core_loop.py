"""The thread that owns a core and carries out its effects."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

from sardineferry.clock import now_ms
from sardineferry.decision.effects import Exit
from sardineferry.decision.effects import Send
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sardineferry.mailbox import Mailbox
    from sardineferry.messages import WireMessage
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["Core", "CoreLoop"]

BATCH_LIMIT = 256

EffectT = TypeVar("EffectT")
EffectT_co = TypeVar("EffectT_co", covariant=True)

logger = part_logger("core")


class Core(Protocol[EffectT_co]):
    """What the loop drives."""

    def handle(self, event: object, sender: str, now_ms: int) -> Sequence[EffectT_co]:
        """Apply an event."""

    def tick(self, now_ms: int) -> Sequence[EffectT_co]:
        """Apply what is due by the clock."""

    def tick_interval_ms(self) -> int:
        """Return how long the next tick may wait."""

    def take_effects(self) -> Sequence[EffectT_co]:
        """Return and clear the collected effects."""


class CoreLoop(Generic[EffectT]):
    """Feeds a core from a mailbox and the clock."""

    def __init__(
        self,
        core: Core[EffectT],
        mailbox: Mailbox,
        perform: Callable[[EffectT], None],
        links: LinkRegistry,
    ) -> None:
        """Name the core, its mailbox and what carries out other effects."""
        self.core = core
        self.mailbox = mailbox
        self.perform = perform
        self.links = links
        self.unsent: dict[str, list[WireMessage]] = {}
        self.next_tick_ms = 0
        self.exited = threading.Event()
        self.thread = threading.Thread(target=self.run, name="core", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def run(self) -> None:
        """Apply events and ticks until the core asks to exit."""
        while not self.exited.is_set():
            wait_s = (self.next_tick_ms - now_ms()) / 1_000
            taken = self.mailbox.take(wait_s)
            # After a pause the clock is applied first, so that lapsed leases
            # are seen before any message that waited meanwhile.
            self.tick_if_due()
            for _ in range(BATCH_LIMIT):
                if taken is None:
                    break
                self.apply(*taken)
                taken = self.mailbox.take(0.0)
            if taken is not None:
                self.apply(*taken)
            self.flush()
            self.hasten_tick()

    def tick_if_due(self) -> None:
        """Tick when the interval has passed."""
        now = now_ms()
        if now < self.next_tick_ms:
            return
        self.next_tick_ms = now + self.core.tick_interval_ms()
        self.guard("tick", lambda: self.core.tick(now))

    def hasten_tick(self) -> None:
        """Tick sooner when events have given the clock something to do."""
        due_ms = now_ms() + self.core.tick_interval_ms()
        self.next_tick_ms = min(self.next_tick_ms, due_ms)

    def apply(self, event: object, sender: str) -> None:
        """Apply one event."""
        name = type(event).__name__
        self.guard(name, lambda: self.core.handle(event, sender, now_ms()))

    def guard(self, name: str, rule: Callable[[], Sequence[EffectT]]) -> None:
        """Apply a rule; a defect in it must not end the process."""
        try:
            effects = rule()
        except Exception:
            logger.exception("Event {} failed.", name)
            effects = self.core.take_effects()
        self.carry_out(effects)

    def carry_out(self, effects: Sequence[EffectT]) -> None:
        """Perform effects in order."""
        for effect in effects:
            if isinstance(effect, Send):
                self.unsent.setdefault(effect.to, []).append(effect.message)
            elif isinstance(effect, Exit):
                self.exited.set()
            else:
                self.perform(effect)

    def flush(self) -> None:
        """Hand over what is to be sent, one batch a link.

        Without its link a message is lost, as on a link that breaks.
        """
        for name, messages in self.unsent.items():
            self.links.send(name, messages)
        self.unsent.clear()
