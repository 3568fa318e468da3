"""A thread that appends to one stream and reads it in order."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from sardineferry.decision.events import AppendFailed
from sardineferry.logs import part_logger
from sardineferry.platform.log import LogClient

if TYPE_CHECKING:
    from sardineferry.decision.effects import Append
    from sardineferry.mailbox import Mailbox

__all__ = ["LogTail"]

logger = part_logger("log")


class LogTail:
    """Owns the connection for one stream.

    After each append the stream is read at once, so that the core sees its
    record in order; otherwise it is polled.
    """

    def __init__(
        self, stream: str, address: str, mailbox: Mailbox, poll_ms: int
    ) -> None:
        """Name the stream and the ``host:port`` of the log service."""
        self.stream = stream
        self.client = LogClient(address)
        self.mailbox = mailbox
        self.poll_s = poll_ms / 1_000
        self.position = 0
        self.healthy = True
        self.appends: queue.SimpleQueue[Append] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def append(self, effect: Append) -> None:
        """Queue an append."""
        self.appends.put(effect)

    def run(self) -> None:
        """Append what is asked and read what is new, for ever."""
        while True:
            try:
                effect: Append | None = self.appends.get(timeout=self.poll_s)
            except queue.Empty:
                effect = None
            failed = effect is not None and not self.try_append(effect)
            self.read_all()
            if failed and effect is not None:
                self.mailbox.put(AppendFailed(self.stream, effect.record_id))

    def try_append(self, effect: Append) -> bool:
        """Append once; false when it failed or its outcome is not known."""
        result = self.client.append(self.stream, effect.record_id, effect.body)
        if is_successful(result):
            return True
        logger.warning("Append to {} failed: {}.", self.stream, result.failure().reason)
        return False

    def read_all(self) -> None:
        """Read up to the end of the stream."""
        while self.read_some():
            pass

    def read_some(self) -> bool:
        """Read once; tell whether more can be read."""
        result = self.client.read_page(self.stream, self.position)
        if not is_successful(result):
            if self.healthy:
                reason = result.failure().reason
                logger.warning("Reading {} fails: {}.", self.stream, reason)
            self.healthy = False
            return False
        if not self.healthy:
            logger.info("Reading {} works again.", self.stream)
        self.healthy = True
        batch, more = result.unwrap()
        if batch.records:
            self.position = batch.records[-1].offset + 1
        # An empty read tells the core that it knows all there is.
        self.mailbox.put(batch)
        return more
