"""Wires the parts of an entry for burst jobs and carries out effects."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.burst.program import MS_PER_S
from sardineferry.burst.program import BurstProgram
from sardineferry.burst.program import Startable
from sardineferry.burst.settings_watch import SettingsWatch
from sardineferry.decision.burst.effects import ApplyLimits
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.common_events import AddressesRead
from sardineferry.exposition import Exposition
from sardineferry.logs import LineWriter
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.transport import LinkListener
from sardineferry.transport import LinkRegistry
from sardineferry.waiting import WaitingRequests
from sardineferry.web import HttpServer
from sardineferry.web import json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.decision.burst.effects import BurstEffect
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

__all__ = ["BurstEntryProcess", "EntryParts", "readiness_of"]

# For answers that are on their way to callers when the core has ended, and
# for what comes meanwhile.
FLUSH_S = 0.3
# Between looks for requests that come after the core has ended.
LATE_STEP_S = 0.01
# Other entries serve at once.
RETRY_AFTER_MS = 500


class EntryParts(NamedTuple):
    """What an entry is built of."""

    loop: IoLoop
    core: BurstEntryCore
    mailbox: Mailbox
    links: LinkRegistry
    listener: LinkListener
    waiting: WaitingRequests[BurstReply]
    callers: HttpServer
    readiness: HttpServer
    watches: tuple[Startable, ...]
    exposition: Exposition
    log: LineWriter
    settings_watch: SettingsWatch


def readiness_of(
    state: BurstEntryState,
) -> Callable[[HttpRequest, Exchange], None]:
    """Return what answers the balancer's checks."""

    def handle(_request: HttpRequest, exchange: Exchange) -> None:
        ready = state.ready()
        exchange.answer(json_response(200 if ready else 503, {"ready": ready}))

    return handle


class BurstEntryProcess(BurstProgram):
    """Owns the parts of an entry."""

    def __init__(self, parts: EntryParts) -> None:
        """Take the parts; their addresses are bound, nothing is started."""
        super().__init__("entry", parts.core, parts)
        self.parts = parts

    def start(self) -> None:
        """Start every part; callers come last."""
        parts = self.parts
        parts.listener.start()
        parts.mailbox.put(AddressesRead(parts.settings_watch.settings.entry_links))
        for watch in parts.watches:
            watch.start()
        parts.exposition.start()
        parts.callers.start()
        parts.readiness.start()
        state = parts.core.state
        self.log_started(name=state.name, incarnation=state.incarnation)

    def begin_drain(self) -> None:
        """Close each caller's connection with its next answer."""
        self.parts.callers.close_after_responses()
        super().begin_drain()

    def leave(self) -> None:
        """End every part; what comes meanwhile is refused."""
        self.parts.links.close_all()
        self.parts.listener.stop()
        self.refuse_late()
        self.end_after(FLUSH_S)

    def refuse_late(self) -> None:
        """Refuse what comes after the core has ended.

        The core has answered all that it took, so the rest has not run.
        """
        self.parts.waiting.answer_all(
            lambda token: BurstReply(
                token, ReplyKind.NOT_RUN, "entry has left", RETRY_AFTER_MS
            )
        )
        self.parts.loop.call_later(LATE_STEP_S, self.refuse_late)

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
        """Bound what callers send, and how long they take."""
        limits = effect.limits
        callers = self.parts.callers
        callers.limits = callers.limits._replace(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
        )
