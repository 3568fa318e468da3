"""Runs a core within the I/O loop and carries out its effects."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Generic
from typing import Protocol
from typing import TypeVar

from sardineferry.clock import now_ms
from sardineferry.decision.common_effects import Exit
from sardineferry.decision.common_effects import Send
from sardineferry.latencies import LatencyHistograms
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sardineferry.mailbox import Mailbox
    from sardineferry.transport import LinkRegistry

__all__ = ["Core", "CoreLoop"]

# Events applied in one pass at most, unless some were left by the pass before. The I/O
# loop serves no links and callers until the pass ends.
MAX_EVENTS_PER_PASS = 256
# A pass that ends this long after its sockets were polled draws no conclusion: the
# process was paused. It is half the time for which an order of an entry is valid.
MAX_INPUT_AGE_MS = 200
MS_PER_S = 1_000
# Ticks that are later than this and passes whose inputs are older are logged.
LOGGED_LATENESS_MS = 100
# Longest wait of the I/O loop once the core has exited and needs no more ticks.
EXITED_WAIT_S = 1.0

EffectT = TypeVar("EffectT")
EffectT_co = TypeVar("EffectT_co", covariant=True)

logger = part_logger("core")


class Core(Protocol[EffectT_co]):
    """The decision logic of a process: it takes events and returns effects."""

    def handle(self, event: object, sender: str, now_ms: int) -> Sequence[EffectT_co]:
        """Apply an event; ``sender`` names its link and is empty if it has none."""

    def tick(self, now_ms: int) -> Sequence[EffectT_co]:
        """Apply what is due at this time, such as expired leases."""

    def conclude(self, now_ms: int, inputs_ms: int) -> Sequence[EffectT_co]:
        """Make the decisions that need all events of a pass to be applied.

        What had arrived by ``inputs_ms`` has been applied.
        """

    def tick_interval_ms(self) -> int:
        """Return the longest time until the next tick is needed."""

    def take_effects(self) -> Sequence[EffectT_co]:
        """Return the effects collected so far, and clear them."""


class CoreLoop(Generic[EffectT]):
    """Feeds a core with events and ticks, once in each pass of the I/O loop."""

    def __init__(
        self,
        core: Core[EffectT],
        mailbox: Mailbox,
        perform: Callable[[EffectT], None],
        links: LinkRegistry,
        on_exit: Callable[[], object],
        applies_late_events: bool = False,
        counters: Counter[str] | None = None,
        latencies: LatencyHistograms | None = None,
        polled_ms: Callable[[], int] | None = None,
    ) -> None:
        """Prepare to run a core; no event is applied yet.

        ``perform`` carries out all effects except sends and the exit.
        ``on_exit`` is called once: when the core has asked to exit, or after a forced
        exit. If ``applies_late_events`` is true, the core also gets the events that
        come after that, until the process ends; else they are dropped. Dropped messages
        are counted in ``counters`` and late ticks in ``latencies``, the process's
        tables, if they are given. ``polled_ms`` returns when the I/O loop determined
        what to read in the present pass.
        """
        self.core = core
        self.mailbox = mailbox
        self.perform = perform
        self.links = links
        self.on_exit = on_exit
        self.applies_late_events = applies_late_events
        self.counters: Counter[str] = Counter() if counters is None else counters
        self.latencies = LatencyHistograms() if latencies is None else latencies
        self.polled_ms = polled_ms
        # True if the last pass left events, or its inputs were too old to conclude.
        self.has_unread_events = False
        self.conclusion_postponed = False
        self.has_exited = False
        self.outbox: dict[str, list[object]] = {}
        # When the next tick is due; 0 before the first one.
        self.next_tick_ms = 0

    def wait_s(self) -> float:
        """Return how long the next pass may wait, in seconds; may be negative."""
        if self.has_exited:
            return EXITED_WAIT_S
        if self.mailbox.events or self.conclusion_postponed:
            return 0.0
        return (self.next_tick_ms - now_ms()) / MS_PER_S

    def on_pass(self) -> None:
        """Apply a due tick and waiting events, then send the resulting messages."""
        if self.has_exited:
            self.handle_late_events()
            return
        now = now_ms()
        is_due = now >= self.next_tick_ms or self.conclusion_postponed
        if not self.mailbox.events and not is_due:
            return
        polled_ms = now if self.polled_ms is None else self.polled_ms()
        # The tick comes first: after a pause, expired leases have to be noticed
        # before messages that arrived meanwhile are applied. The entry for burst jobs
        # starts new work last, in conclude(), because one of the messages may say
        # that the caller has disconnected.
        if now >= self.next_tick_ms:
            if self.next_tick_ms > 0:
                self.observe_lateness(now - self.next_tick_ms)
            self.next_tick_ms = now + self.core.tick_interval_ms()
            self.run_core("tick", lambda: self.core.tick(now))
        self.apply_events()
        self.conclude(polled_ms)
        self.flush()
        self.observe_age(now_ms() - polled_ms)
        # The applied events may require an earlier tick than was planned.
        due_ms = now_ms() + self.core.tick_interval_ms()
        self.next_tick_ms = min(self.next_tick_ms, due_ms)
        if self.has_exited:
            self.on_exit()

    def apply_events(self) -> None:
        """Apply waiting events: up to the limit, or all after a pass that left some."""
        count = len(self.mailbox.events)
        if not self.has_unread_events:
            count = min(count, MAX_EVENTS_PER_PASS)
        for _ in range(count):
            next_event = self.mailbox.take()
            if next_event is None:
                break
            self.apply(*next_event)
        self.has_unread_events = bool(self.mailbox.events)
        if self.has_unread_events:
            self.counters["events_deferred"] += len(self.mailbox.events)

    def conclude(self, polled_ms: int) -> None:
        """Let the core conclude, once all that had arrived by now has been applied.

        After a pause of the process, more may have arrived, for example that a caller
        has left. The next pass, which follows at once, then concludes. It does so even
        if its inputs are old, as the process is slow rather than paused.
        """
        is_old = now_ms() - polled_ms >= MAX_INPUT_AGE_MS
        if self.has_unread_events or (is_old and not self.conclusion_postponed):
            self.conclusion_postponed = True
            return
        self.conclusion_postponed = False
        self.run_core("conclusion", lambda: self.core.conclude(now_ms(), polled_ms))

    def observe_lateness(self, late_ms: int) -> None:
        """Record by how many milliseconds a tick, and so what it applies, is late."""
        self.latencies.observe("tick", "late", late_ms)
        if late_ms > LOGGED_LATENESS_MS:
            logger.warning("timed actions late", extra={"fields": {"late_ms": late_ms}})

    def observe_age(self, age_ms: int) -> None:
        """Record how old the inputs of a pass are at its end, when orders were sent."""
        self.latencies.observe("pass", "age", age_ms)
        if age_ms > LOGGED_LATENESS_MS:
            fields = {"age_ms": age_ms, "unread": len(self.mailbox.events)}
            logger.warning("inputs of a pass old", extra={"fields": fields})

    def handle_late_events(self) -> None:
        """Apply or drop the events that came after the exit."""
        while (late_event := self.mailbox.take()) is not None:
            if self.applies_late_events:
                self.apply(*late_event)
        self.flush()

    def force_exit(self) -> None:
        """Exit even though the core has not asked to within the time limit."""
        if not self.has_exited:
            logger.error("The core has not exited in time; stopping anyway.")
            self.has_exited = True
            self.on_exit()

    def apply(self, event: object, sender: str) -> None:
        """Apply one event to the core."""
        event_name = type(event).__name__
        self.run_core(event_name, lambda: self.core.handle(event, sender, now_ms()))

    def run_core(
        self, event_name: str, call_core: Callable[[], Sequence[EffectT]]
    ) -> None:
        """Call the core and carry out its effects.

        An exception in the core is logged and must not end the process. The
        effects collected before it are carried out.
        """
        try:
            effects = call_core()
        except Exception:
            logger.exception("Event %s failed.", event_name)
            effects = self.core.take_effects()
        for effect in effects:
            self.carry_out(effect)

    def carry_out(self, effect: EffectT) -> None:
        """Carry out one effect; an exception is logged and doesn't stop others."""
        if isinstance(effect, Send):
            self.outbox.setdefault(effect.to, []).append(effect.message)
        elif isinstance(effect, Exit):
            self.has_exited = True
        else:
            try:
                self.perform(effect)
            except Exception:
                logger.exception("Effect %s failed.", type(effect).__name__)

    def flush(self) -> None:
        """Send the collected messages, in one batch for each link.

        Messages to a closed link are dropped; the core also has to cope with those
        that a failing link loses.
        """
        outbox, self.outbox = self.outbox, {}
        for link_name, messages in outbox.items():
            if not self.links.send(link_name, messages):
                self.report_dropped(link_name, messages)

    def report_dropped(self, link_name: str, messages: list[object]) -> None:
        """Count and log messages that were dropped because their link is not open."""
        self.counters["messages_dropped"] += len(messages)
        by_type = Counter(type(message).__name__ for message in messages)
        fields = {"link": link_name, "messages": by_type}
        logger.warning("messages dropped", extra={"fields": fields})
