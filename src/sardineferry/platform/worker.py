"""Calls the worker on the agent's own machine."""

from __future__ import annotations

import http
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec

from sardineferry.clock import now_ms
from sardineferry.decision.burst.worker import HoldAnswered
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import PresentRun
from sardineferry.decision.burst.worker import RunEnd
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.burst.worker import StartAnswered
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopAnswered
from sardineferry.decision.burst.worker import StopRun
from sardineferry.logs import part_logger
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import ENDED_FAILED
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import RunRef
from sardineferry.web import HttpClient
from sardineferry.web import HttpResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox

__all__ = ["WorkerClient"]

# A worker answers within a few ms; an order without an answer is repeated
# after this, with the same attempt.
ORDER_TIMEOUT_S = 0.04
# Jobs of up to 32 tasks that start on one worker at once.
ORDER_CONNECTIONS = 6
# Beyond the time that the worker was asked to wait.
HOLD_SLACK_S = 0.06
HTTP_MISDIRECTED = 421
MS_PER_S = 1_000

ENDS = {"done": ENDED_DONE, "failed": ENDED_FAILED}
UNREADABLE = HttpResult(0, b"", "unreadable")
REASONS = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.SUPERSEDED,
    "late": StartAnswer.LATE,
    "room": StartAnswer.NO_ROOM,
}

logger = part_logger("worker")


class StartBody(msgspec.Struct, rename="pascal"):
    """A start order; the deadline is on the worker's clock."""

    task: str
    attempt: int
    spec: str
    deadline_ms: int
    fencing_token: int


class StopBody(msgspec.Struct, rename="pascal"):
    """A stop order."""

    task: str
    attempt: int
    fencing_token: int


class HoldBody(msgspec.Struct, rename="pascal", omit_defaults=True):
    """A hold: ``last_acked`` is the highest number of an end taken note of."""

    fencing_token: int
    last_acked: int
    wait_ms: int = 0
    deadline_ms: int = 0


class AnswerBody(msgspec.Struct):
    """What the worker answers to orders."""

    clock_ms: int | None = msgspec.field(name="ClockMs", default=None)
    reason: str = msgspec.field(name="Reason", default="")


class ListsBody(msgspec.Struct):
    """What the worker answers to a hold.

    Rows are [task, attempt, checkpoint, percent, ...] of runs and
    [number, task, attempt, how, checkpoint] of ends.
    """

    running: list[list[object]] = msgspec.field(name="Running")
    finished: list[list[object]] = msgspec.field(name="Finished")
    clock_ms: int | None = msgspec.field(name="ClockMs", default=None)
    born: int | None = None


class WorkerClient:
    """Orders to the worker; each answer is an event for the core.

    Holds wait at the worker, so they have a connection of their own.
    """

    def __init__(self, loop: IoLoop, address: str, mailbox: Mailbox) -> None:
        """Name the ``host:port`` of the worker."""
        self.mailbox = mailbox
        self.orders = HttpClient(loop, address, ORDER_CONNECTIONS, ORDER_TIMEOUT_S)
        self.holds = HttpClient(loop, address, 1, ORDER_TIMEOUT_S)

    @singledispatchmethod
    def perform(self, order: object) -> None:
        """Carry out an order; unknown kinds are a programming error."""
        raise TypeError(f"no call for {type(order).__name__}")

    @perform.register
    def start(self, order: StartRun) -> None:
        """Order a run to start."""
        sent_ms = now_ms()
        body = StartBody(
            order.run.task,
            order.run.attempt,
            order.spec,
            order.lease_until_ms,
            order.fencing_token,
        )

        def answered(answer: HttpResult) -> StartAnswered:
            parsed = parse_answer(answer.body)
            outcome = start_answer_of(answer.status, parsed.reason)
            return StartAnswered(order.run, outcome, sent_ms, parsed.clock_ms)

        self.call(self.orders, "/v1/run-start", body, order.worker_id, answered)

    @perform.register
    def stop(self, order: StopRun) -> None:
        """Order a run to stop."""
        sent_ms = now_ms()
        body = StopBody(order.run.task, order.run.attempt, order.fencing_token)

        def answered(answer: HttpResult) -> StopAnswered:
            fenced = parse_answer(answer.body).reason == "fence"
            return StopAnswered(order.run, answer.status != 0, fenced, sent_ms)

        self.call(self.orders, "/v1/run-stop", body, order.worker_id, answered)

    @perform.register
    def hold(self, order: HoldWorker) -> None:
        """Extend the lease and read the lists of runs and ends."""
        sent_ms = now_ms()
        body = HoldBody(
            order.fencing_token,
            order.acknowledged,
            order.wait_ms,
            order.lease_until_ms,
        )

        def answered(answer: HttpResult) -> HoldAnswered:
            if answer.status != http.HTTPStatus.OK:
                fenced = parse_answer(answer.body).reason == "fence"
                return HoldAnswered(sent_ms, answered=False, fenced=fenced)
            return parse_lists(answer.body, sent_ms)

        timeout_s = order.wait_ms / MS_PER_S + HOLD_SLACK_S
        self.call(self.holds, "/v1/hold", body, order.worker_id, answered, timeout_s)

    def call(
        self,
        client: HttpClient,
        path: str,
        body: msgspec.Struct,
        worker_id: str,
        answered: Callable[[HttpResult], object],
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        """Make one call within a time limit; its answer goes to the core."""
        headers = {"Content-Type": "application/json"}
        if worker_id:
            headers["Expected-Instance"] = worker_id
        future = client.call(
            "POST", path, msgspec.json.encode(body), headers, timeout_s
        )
        future.add_done_callback(
            lambda done: self.hand_over(path, done.result(), answered)
        )

    def hand_over(
        self,
        path: str,
        answer: HttpResult,
        answered: Callable[[HttpResult], object],
    ) -> None:
        """Hand an answer to the core; one that can't be read counts as none.

        Without it the core would wait for this answer for ever.
        """
        try:
            event = answered(answer)
        except Exception:
            logger.exception("The answer to %s can't be read.", path)
            event = answered(UNREADABLE)
        self.mailbox.put(event)


def start_answer_of(status: int, reason: str) -> StartAnswer:
    """Return what an answer to a start means."""
    if status == 0:
        return StartAnswer.UNANSWERED
    if status == http.HTTPStatus.OK:
        return StartAnswer.STARTED
    if status == HTTP_MISDIRECTED:
        return StartAnswer.OTHER_LIFE
    if status == http.HTTPStatus.CONFLICT:
        return REASONS.get(reason, StartAnswer.REJECTED)
    return StartAnswer.REJECTED


def parse_answer(body: bytes) -> AnswerBody:
    """Decode the body of an answer; one that can't be read tells nothing."""
    if not body:
        return AnswerBody()
    try:
        return msgspec.json.decode(body, type=AnswerBody)
    except msgspec.DecodeError as error:
        logger.warning("Worker sent an unreadable answer: %s.", error)
        return AnswerBody()


def parse_lists(body: bytes, sent_ms: int) -> HoldAnswered:
    """Decode both lists; lists that can't be read count as no answer."""
    try:
        lists = msgspec.json.decode(body, type=ListsBody)
        present = tuple(present_of(row) for row in lists.running)
        ends = tuple(end_of(row) for row in lists.finished)
    except (msgspec.DecodeError, msgspec.ValidationError, IndexError) as error:
        logger.warning("Worker sent unreadable lists: %s.", error)
        return HoldAnswered(sent_ms, answered=False)
    return HoldAnswered(
        sent_ms,
        answered=True,
        clock_ms=lists.clock_ms,
        born_ms=lists.born,
        present=present,
        ends=ends,
    )


def present_of(row: list[object]) -> PresentRun:
    """Decode a row of runs."""
    run = msgspec.convert([row[0], row[1]], RunRef)
    return PresentRun(run, msgspec.convert(row[3], int, strict=False))


def end_of(row: list[object]) -> RunEnd:
    """Decode a row of ends."""
    number = msgspec.convert(row[0], int)
    run = msgspec.convert([row[1], row[2]], RunRef)
    return RunEnd(number, run, ENDS.get(str(row[3]), ENDED_LOST))
