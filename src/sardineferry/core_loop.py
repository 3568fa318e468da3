"""Drives a core in its turn of the loop and carries out its effects."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

from sardineferry.clock import now_ms
from sardineferry.decision.common_effects import Exit
from sardineferry.decision.common_effects import Send
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sardineferry.mailbox import Mailbox
    from sardineferry.transport import LinkRegistry

__all__ = ["Core", "CoreLoop"]

# Events that are applied before links and callers are served again.
BATCH_LIMIT = 256
MS_PER_S = 1_000
# Once the core has exited, nothing is due.
IDLE_WAIT_S = 1.0

EffectT = TypeVar("EffectT")
EffectT_co = TypeVar("EffectT_co", covariant=True)

logger = part_logger("core")


class Core(Protocol[EffectT_co]):
    """What the loop drives."""

    def handle(self, event: object, sender: str, now_ms: int) -> Sequence[EffectT_co]:
        """Apply an event."""

    def tick(self, now_ms: int) -> Sequence[EffectT_co]:
        """Apply what is due by the clock."""

    def conclude(self, now_ms: int) -> Sequence[EffectT_co]:
        """Act on all that a pass has brought."""

    def tick_interval_ms(self) -> int:
        """Return how long the next tick may wait."""

    def take_effects(self) -> Sequence[EffectT_co]:
        """Return and clear the collected effects."""


class CoreLoop(Generic[EffectT]):
    """Feeds a core from a mailbox and the clock, once in each pass."""

    def __init__(
        self,
        core: Core[EffectT],
        mailbox: Mailbox,
        perform: Callable[[EffectT], None],
        links: LinkRegistry,
        exited: Callable[[], object],
    ) -> None:
        """Name the core, its mailbox and what carries out other effects.

        ``exited`` is called once the core asks to exit.
        """
        self.core = core
        self.mailbox = mailbox
        self.perform = perform
        self.links = links
        self.exited = exited
        self.has_exited = False
        self.unsent: dict[str, list[object]] = {}
        self.next_tick_ms = 0

    def wait_s(self) -> float:
        """Return how long the next turn may wait."""
        if self.has_exited:
            return IDLE_WAIT_S
        if self.mailbox.events:
            return 0.0
        return (self.next_tick_ms - now_ms()) / MS_PER_S

    def on_pass(self) -> None:
        """Apply events and ticks; send what follows from them."""
        if self.has_exited:
            self.mailbox.events.clear()
            return
        now = now_ms()
        if not self.mailbox.events and now < self.next_tick_ms:
            return
        # After a pause the clock is applied first, so that lapsed leases are
        # seen before any message that waited meanwhile; nothing is begun before
        # all messages are known, such as that a caller has left.
        if now >= self.next_tick_ms:
            self.next_tick_ms = now + self.core.tick_interval_ms()
            self.guard("tick", lambda: self.core.tick(now))
        for _ in range(BATCH_LIMIT):
            taken = self.mailbox.take()
            if taken is None:
                break
            self.apply(*taken)
        self.guard("conclusion", lambda: self.core.conclude(now_ms()))
        self.flush()
        # Events may have given the clock something to do.
        due_ms = now_ms() + self.core.tick_interval_ms()
        self.next_tick_ms = min(self.next_tick_ms, due_ms)
        if self.has_exited:
            self.exited()

    def give_up(self) -> None:
        """Exit although the core has not asked to: its time is over."""
        if not self.has_exited:
            logger.error("The core has not ended in time.")
            self.has_exited = True
            self.exited()

    def apply(self, event: object, sender: str) -> None:
        """Apply one event."""
        name = type(event).__name__
        self.guard(name, lambda: self.core.handle(event, sender, now_ms()))

    def guard(self, name: str, rule: Callable[[], Sequence[EffectT]]) -> None:
        """Apply a rule; a defect in it must not end the process."""
        try:
            effects = rule()
        except Exception:
            logger.exception("Event %s failed.", name)
            effects = self.core.take_effects()
        for effect in effects:
            self.carry_out(effect)

    def carry_out(self, effect: EffectT) -> None:
        """Perform an effect; the others go on if it fails."""
        if isinstance(effect, Send):
            self.unsent.setdefault(effect.to, []).append(effect.message)
        elif isinstance(effect, Exit):
            self.has_exited = True
        else:
            try:
                self.perform(effect)
            except Exception:
                logger.exception("Effect %s failed.", type(effect).__name__)

    def flush(self) -> None:
        """Hand over what is to be sent, one batch a link.

        Without its link a message is lost, as on a link that breaks.
        """
        unsent, self.unsent = self.unsent, {}
        for name, messages in unsent.items():
            self.links.send(name, messages)
