"""Wires the threads of an entry for burst jobs and carries out effects."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.core_loop import CoreLoop
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.events import Drain
from sardineferry.logs import part_logger
from sardineferry.signals import SignalWatch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

    from sardineferry.burst.parts import EntryParts
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["BurstEntryProcess", "ReadyApplication"]

STEP_S = 0.5
# For answers that are on their way to callers when the core has ended.
FLUSH_S = 0.15

# Between looks for requests that come after the core has ended.
LATE_STEP_S = 0.01
# Other entries serve at once.
RETRY_AFTER_MS = 500

logger = part_logger("entry")


class ReadyApplication:
    """A WSGI application for the balancer's checks."""

    def __init__(self, state: BurstEntryState) -> None:
        """Name the state that tells whether connections may come."""
        self.state = state

    def __call__(
        self, _environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer 200 or 503."""
        status = "200 OK" if self.state.ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class BurstEntryProcess:
    """Owns the threads of an entry."""

    def __init__(self, parts: EntryParts) -> None:
        """Take the parts; their addresses are bound, their threads not started."""
        self.parts = parts
        self.loop: CoreLoop[BurstEffect] = CoreLoop(
            parts.core, parts.mailbox, self.perform, parts.links
        )
        self.signals = SignalWatch(lambda: None, parts.settings_watch.reload)

    def start(self) -> None:
        """Start every thread; callers come last."""
        parts = self.parts
        self.loop.start()
        parts.listener.start()
        for watch in parts.watches:
            watch.start()
        parts.exposition.start()
        parts.callers.start()
        parts.readiness.start()
        state = parts.core.state
        logger.bind(name=state.name, incarnation=state.incarnation).info("Started.")

    def run(self) -> None:
        """Serve until a signal asks to drain, then finish and leave."""
        self.signals.install()
        self.start()
        while not self.signals.wait_for_drain(STEP_S):
            self.parts.settings_watch.check()
        self.drain()

    def drain(self) -> None:
        """Finish what is in flight within the grace, then stop."""
        parts = self.parts
        parts.callers.leave()
        parts.mailbox.put(Drain("signal"))
        self.loop.exited.wait(parts.settings_watch.settings.grace_ms / 1_000)
        self.refuse_late(FLUSH_S)
        parts.callers.stop()
        parts.readiness.stop()
        parts.links.close_all()
        parts.listener.stop()
        logger.info("Stopped.")
        self.refuse_late(FLUSH_S)

    def refuse_late(self, duration_s: float) -> None:
        """Refuse what comes after the core has ended, and let answers leave.

        The core has answered all that it took, so the rest has not run.
        """
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            self.parts.waiting.answer_all(
                lambda token: BurstReply(
                    token, ReplyKind.NOT_RUN, "entry has left", RETRY_AFTER_MS
                )
            )
            time.sleep(LATE_STEP_S)

    @singledispatchmethod
    def perform(self, effect: BurstEffect) -> None:
        """Carry out an effect; unknown kinds are a programming error."""
        raise TypeError(f"no way to perform {type(effect).__name__}")

    @perform.register
    def reply(self, effect: BurstReply) -> None:
        """Answer a waiting caller."""
        self.parts.waiting.answer(effect.token, effect)

    @perform.register
    def drop_link(self, effect: DropLink) -> None:
        """End a silent link."""
        self.parts.links.abort(effect.name)

    @perform.register
    def log_decision(self, effect: LogDecision) -> None:
        """Write a log line."""
        logger.bind(**effect.fields).info(effect.event)

    @perform.register
    def observe(self, effect: ObserveLatency) -> None:
        """Count a latency."""
        self.parts.exposition.observe(effect.what, effect.outcome, effect.elapsed_ms)
