"""Tests how callers' requests become events for the core."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import cast

import pytest

from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.mailbox import Mailbox
from sardineferry.pending_requests import PendingRequests
from sardineferry.platform.callers import CallerApplication
from sardineferry.web import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.web import Exchange

JOB_ID = "00000000000000a1"
BODY = json.dumps({"Burstable": True, "Steps": [{"Count": 1, "Cpu": 1}]}).encode()


class PlayedExchange:
    """An exchange whose caller may have left."""

    def __init__(self, left: bool) -> None:
        headers = {"host": "desk.example:80", "deadline-ms": "900"}
        self.request = HttpRequest("POST", f"/q/{JOB_ID}", "", headers, BODY)
        self.left = left
        self.on_disconnect: Callable[[], None] | None = None

    def caller_has_left(self) -> bool:
        return self.left


@pytest.mark.parametrize(("left", "events"), [(False, 1), (True, 0)])
def test_job_of_a_caller_that_has_left_is_not_submitted(
    left: bool, events: int
) -> None:
    mailbox = Mailbox()
    application = CallerApplication(mailbox, PendingRequests[BurstReply]())
    exchange = PlayedExchange(left)
    application.handle(exchange.request, cast("Exchange", exchange))
    submitted = [event for event, _ in mailbox.events]
    assert len(submitted) == events
    for event in submitted:
        assert isinstance(event, SubmitJob)
        assert (event.host, event.deadline_ms) == ("desk.example", 900)
