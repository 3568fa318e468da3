"""Polls a worker for the resources that its tasks use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineferry.decision.events import TaskUsage
from sardineferry.decision.events import UsageReported
from sardineferry.logs import part_logger
from sardineferry.web import HttpClient

if TYPE_CHECKING:
    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.web import HttpResult

__all__ = ["UsagePoller"]

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 2.0

logger = part_logger("usage")


class UsagePoller:
    """Fetches the worker's usage report, with a fixed delay after each response."""

    def __init__(self, loop: IoLoop, address: str, mailbox: Mailbox) -> None:
        """Use the worker at ``host:port``."""
        self.loop = loop
        self.client = HttpClient(loop, address, 1)
        self.mailbox = mailbox

    def start(self) -> None:
        """Fetch the next report after the interval."""
        self.loop.call_later(POLL_INTERVAL_S, self.poll)

    def poll(self) -> None:
        """Fetch one report."""
        future = self.client.call("GET", "/usage", timeout_s=POLL_TIMEOUT_S)
        future.add_done_callback(lambda done: self.handle_result(done.result()))

    def handle_result(self, result: HttpResult) -> None:
        """Schedule the next poll, and pass the report to the core."""
        self.start()
        try:
            tasks = msgspec.json.decode(result.body, type=list[TaskUsage])
        except msgspec.DecodeError as error:
            reason = result.reason or str(error)
            logger.debug("Cannot get the worker's usage report: %s.", reason)
            return
        if tasks:
            self.mailbox.put(UsageReported(tuple(tasks)))
