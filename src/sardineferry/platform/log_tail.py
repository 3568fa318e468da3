"""Follows one stream: appends records and passes all records to the core."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result

from sardineferry.decision.events import AppendFailed
from sardineferry.futures import when_done
from sardineferry.logs import part_logger
from sardineferry.platform.log_client import LogClient

if TYPE_CHECKING:
    from sardineferry.decision.effects import Append
    from sardineferry.loop import IoLoop
    from sardineferry.loop import Timer
    from sardineferry.mailbox import Mailbox
    from sardineferry.platform.log_client import LogPage
    from sardineferry.platform.store import StoreClient
    from sardineferry.platform.store import StoreError

__all__ = ["LogTail"]

logger = part_logger("log")


class LogTail:
    """Appends to a stream and reads it, with one call to the store at a time.

    After each append it reads the stream at once, so that the core gets the new
    record in its place among the others. Without appends it polls.
    """

    def __init__(
        self,
        loop: IoLoop,
        stream: str,
        store: StoreClient,
        mailbox: Mailbox,
        poll_ms: int,
    ) -> None:
        """Prepare to read a stream from its start; ``start`` begins."""
        self.loop = loop
        self.stream = stream
        self.client = LogClient(store)
        self.mailbox = mailbox
        self.poll_s = poll_ms / 1_000
        self.next_offset = 0
        # Whether the last read succeeded.
        self.healthy = True
        self.call_in_progress = False
        self.appends: deque[Append] = deque()
        # This failed append is reported to the core only after the next read,
        # because its record may have been written all the same.
        self.failed_append: Append | None = None
        self.timer: Timer | None = None

    def start(self) -> None:
        """Schedule the next poll."""
        self.timer = self.loop.call_later(self.poll_s, self.make_next_call)

    def append(self, effect: Append) -> None:
        """Queue an append; it is made at once if no call is in progress."""
        self.appends.append(effect)
        if not self.call_in_progress:
            self.make_next_call()

    def make_next_call(self) -> None:
        """Make the oldest queued append, or read new records if there is none."""
        if self.timer is not None:
            self.timer.cancel()
        self.call_in_progress = True
        if not self.appends:
            self.read()
            return
        effect = self.appends.popleft()
        call = self.client.append(self.stream, effect.record_id, effect.body)
        when_done(
            call, lambda result: self.handle_append(effect, result), self.handle_error
        )

    def handle_append(self, effect: Append, result: Result[None, StoreError]) -> None:
        """Read the stream, which also shows whether a failed append was written."""
        if isinstance(result, Failure):
            reason = result.failure().reason
            logger.warning("Append to %s failed: %s.", self.stream, reason)
            self.failed_append = effect
        self.read()

    def read(self) -> None:
        """Read the records after those that the core has."""
        call = self.client.read_page(self.stream, self.next_offset)
        when_done(call, self.handle_page, self.handle_error)

    def handle_page(self, result: Result[LogPage, StoreError]) -> None:
        """Pass records to the core, and read on until the end of the stream."""
        if isinstance(result, Failure):
            first_kept = result.failure().first_kept
            if first_kept is not None and first_kept > self.next_offset:
                self.next_offset = first_kept
                self.read()
                return
            self.record_failure(result.failure().reason)
            self.finish_call()
            return
        if not self.healthy:
            logger.info("Reading %s works again.", self.stream)
        self.healthy = True
        page = result.unwrap()
        self.next_offset = page.next_offset
        # Empty batches are passed on, too: they show the core that it is up to date.
        self.mailbox.put(page.batch)
        if page.has_more:
            self.read()
        else:
            self.finish_call()

    def handle_error(self, error: Exception) -> None:
        """Treat an unexpected error as a failed read."""
        self.record_failure(f"unexpected error: {error!r}")
        self.finish_call()

    def record_failure(self, reason: str) -> None:
        """Note that reading fails, and log the first of several failures in a row."""
        if self.healthy:
            logger.warning("Reading %s fails: %s.", self.stream, reason)
        self.healthy = False

    def finish_call(self) -> None:
        """Report a failed append to the core; make the next call now or schedule it."""
        if self.failed_append is not None:
            self.mailbox.put(AppendFailed(self.stream, self.failed_append.record_id))
            self.failed_append = None
        self.call_in_progress = False
        if self.appends:
            self.make_next_call()
        else:
            self.start()
