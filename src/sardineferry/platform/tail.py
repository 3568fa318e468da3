"""Appends to one stream and reads it in order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result

from sardineferry.decision.events import AppendFailed
from sardineferry.futures import deliver
from sardineferry.logs import part_logger
from sardineferry.platform.log import LogClient

if TYPE_CHECKING:
    from sardineferry.decision.effects import Append
    from sardineferry.loop import IoLoop
    from sardineferry.loop import Timer
    from sardineferry.mailbox import Mailbox
    from sardineferry.platform.log import LogPage
    from sardineferry.platform.store import StoreClient
    from sardineferry.platform.store import StoreError

__all__ = ["LogTail"]

logger = part_logger("log")


class LogTail:
    """Owns the calls for one stream, one at a time.

    After each append the stream is read at once, so that the core sees its
    record in order; otherwise it is polled.
    """

    def __init__(
        self,
        loop: IoLoop,
        stream: str,
        store: StoreClient,
        mailbox: Mailbox,
        poll_ms: int,
    ) -> None:
        """Name the stream and the store."""
        self.loop = loop
        self.stream = stream
        self.client = LogClient(store)
        self.mailbox = mailbox
        self.poll_s = poll_ms / 1_000
        self.position = 0
        self.healthy = True
        self.busy = False
        self.appends: deque[Append] = deque()
        # The append whose failure is told once the stream has been read.
        self.failed: Append | None = None
        self.timer: Timer | None = None

    def start(self) -> None:
        """Wait for the first poll."""
        self.timer = self.loop.call_later(self.poll_s, self.go_on)

    def append(self, effect: Append) -> None:
        """Queue an append."""
        self.appends.append(effect)
        if not self.busy:
            self.go_on()

    def go_on(self) -> None:
        """Append what is asked first, else read what is new."""
        if self.timer is not None:
            self.timer.cancel()
        self.busy = True
        if not self.appends:
            self.read()
            return
        effect = self.appends.popleft()
        call = self.client.append(self.stream, effect.record_id, effect.body)
        deliver(call, lambda answer: self.take_append(effect, answer), self.fail)

    def take_append(self, effect: Append, answer: Result[None, StoreError]) -> None:
        """Read the stream: only that tells what a failed append did."""
        if isinstance(answer, Failure):
            reason = answer.failure().reason
            logger.warning("Append to %s failed: %s.", self.stream, reason)
            self.failed = effect
        self.read()

    def read(self) -> None:
        """Read on from what is known."""
        call = self.client.read_page(self.stream, self.position)
        deliver(call, self.take_page, self.fail)

    def take_page(self, answer: Result[LogPage, StoreError]) -> None:
        """Hand records to the core; read on while there are more."""
        if isinstance(answer, Failure):
            first_kept = answer.failure().first_kept
            if first_kept is not None and first_kept > self.position:
                self.position = first_kept
                self.read()
                return
            self.note_failure(answer.failure().reason)
            self.finish()
            return
        if not self.healthy:
            logger.info("Reading %s works again.", self.stream)
        self.healthy = True
        page = answer.unwrap()
        self.position = page.next_offset
        # An empty read tells the core that it knows all there is.
        self.mailbox.put(page.batch)
        if page.more:
            self.read()
        else:
            self.finish()

    def fail(self, error: Exception) -> None:
        """Go on after an unexpected error."""
        self.note_failure(f"unexpected error: {error!r}")
        self.finish()

    def note_failure(self, reason: str) -> None:
        """Log the first failure of a series."""
        if self.healthy:
            logger.warning("Reading %s fails: %s.", self.stream, reason)
        self.healthy = False

    def finish(self) -> None:
        """Tell a failed append; go on with the next one, or wait to poll."""
        if self.failed is not None:
            self.mailbox.put(AppendFailed(self.stream, self.failed.record_id))
            self.failed = None
        self.busy = False
        if self.appends:
            self.go_on()
        else:
            self.start()
