"""Wires the threads of an entry for burst jobs and carries out effects."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from sardineferry.burst.program import MS_PER_S
from sardineferry.burst.program import BurstProgram
from sardineferry.decision.burst.effects import ApplyLimits
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ReplyKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

    from sardineferry.burst.parts import EntryParts
    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["BurstEntryProcess", "ReadyApplication"]

# For answers that are on their way to callers when the core has ended.
FLUSH_S = 0.15

# Between looks for requests that come after the core has ended.
LATE_STEP_S = 0.01
# Other entries serve at once.
RETRY_AFTER_MS = 500


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


class BurstEntryProcess(BurstProgram):
    """Owns the threads of an entry."""

    def __init__(self, parts: EntryParts) -> None:
        """Take the parts; their addresses are bound, their threads not started."""
        super().__init__("entry", parts.core, parts)
        self.parts = parts

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
        self.logger.bind(name=state.name, incarnation=state.incarnation).info(
            "Started."
        )

    def begin_drain(self) -> None:
        """Close each caller's connection with its next answer."""
        self.parts.callers.leave()

    def stop(self) -> None:
        """Stop every thread; what comes meanwhile is refused."""
        parts = self.parts
        self.refuse_late(FLUSH_S)
        parts.callers.stop()
        parts.readiness.stop()
        parts.links.close_all()
        parts.listener.stop()
        self.logger.info("Stopped.")
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
        """Carry out an effect."""
        super().perform(effect)

    @perform.register
    def reply(self, effect: BurstReply) -> None:
        """Answer a waiting caller."""
        self.parts.waiting.answer(effect.token, effect)

    @perform.register
    def apply_limits(self, effect: ApplyLimits) -> None:
        """Bound headers and idle connections; the application bounds bodies."""
        limits = effect.limits
        idle_s = max(1, limits.idle_timeout_ms // MS_PER_S)
        self.parts.callers.apply_limits(limits.header_bytes, idle_s)
