"""Polls a worker for what its tasks use."""

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

__all__ = ["UsagePoll"]

INTERVAL_S = 0.5
TIMEOUT_S = 2.0

logger = part_logger("usage")


class UsagePoll:
    """Fetches the worker's usage report at a fixed interval."""

    def __init__(self, loop: IoLoop, address: str, mailbox: Mailbox) -> None:
        """Name the worker's ``host:port``."""
        self.loop = loop
        self.http = HttpClient(loop, address, 1)
        self.mailbox = mailbox

    def start(self) -> None:
        """Poll from now on."""
        self.loop.call_later(INTERVAL_S, self.poll)

    def poll(self) -> None:
        """Fetch one report; the next one follows its answer."""
        call = self.http.call("GET", "/usage", timeout_s=TIMEOUT_S)
        call.add_done_callback(lambda done: self.take(done.result()))

    def take(self, answer: HttpResult) -> None:
        """Hand a report to the core; a failure is only logged."""
        self.start()
        try:
            tasks = msgspec.json.decode(answer.body, type=list[TaskUsage])
        except msgspec.DecodeError as error:
            reason = answer.reason or str(error)
            logger.debug("Usage report failed: %s.", reason)
            return
        if tasks:
            self.mailbox.put(UsageReported(tuple(tasks)))
