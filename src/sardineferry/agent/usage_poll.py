"""Polls a worker for what its tasks use."""

from __future__ import annotations

import http.client
import threading
from typing import TYPE_CHECKING

import msgspec

from sardineferry.decision.events import TaskUsage
from sardineferry.decision.events import UsageReported
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from sardineferry.mailbox import Mailbox

__all__ = ["UsagePoll"]

INTERVAL_S = 0.5
TIMEOUT_S = 2.0

logger = part_logger("usage")


class UsagePoll:
    """A thread that owns a connection to the worker's usage report."""

    def __init__(self, address: str, mailbox: Mailbox) -> None:
        """Name the worker's ``host:port``."""
        self.address = address
        self.mailbox = mailbox
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopped.wait(INTERVAL_S):
            self.poll()

    def poll(self) -> None:
        """Fetch one report; a failure is only logged."""
        connection = http.client.HTTPConnection(self.address, timeout=TIMEOUT_S)
        try:
            connection.request("GET", "/usage")
            text = connection.getresponse().read()
            tasks = msgspec.json.decode(text, type=list[TaskUsage])
        except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
            logger.debug("Usage report failed: {!r}.", error)
            return
        finally:
            connection.close()
        if tasks:
            self.mailbox.put(UsageReported(tuple(tasks)))
