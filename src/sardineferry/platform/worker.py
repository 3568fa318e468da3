"""A client of the worker on the agent's own machine."""

from __future__ import annotations

import http
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec

from sardineferry.clock import now_ms
from sardineferry.decision.burst.worker import HoldAnswered
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import ListedEnd
from sardineferry.decision.burst.worker import ListedRun
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

# A worker usually answers within a few ms. The core repeats an order that gets
# no answer in this time, with the same attempt number.
ORDER_TIMEOUT_S = 0.04
# Enough to start a job of up to 32 tasks on one worker at once.
MAX_ORDER_CONNECTIONS = 6
# How long to wait for the answer to a hold after the worker's own wait is over.
HOLD_TIMEOUT_MARGIN_S = 0.06
HTTP_MISDIRECTED = 421
MS_PER_S = 1_000

OUTCOME_BY_WORD = {"done": ENDED_DONE, "failed": ENDED_FAILED}
# Replaces an answer that can't be processed.
NO_ANSWER = HttpResult(0, b"", "unreadable")
START_ANSWER_BY_REASON = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.SUPERSEDED,
    "late": StartAnswer.LATE,
    "room": StartAnswer.NO_ROOM,
}

logger = part_logger("worker")


class StartRequest(msgspec.Struct, rename="pascal"):
    """An order to start a run; the deadline is a time of the worker's clock."""

    task: str
    attempt: int
    spec: str
    deadline_ms: int
    fencing_token: int


class StopRequest(msgspec.Struct, rename="pascal"):
    """An order to stop a run."""

    task: str
    attempt: int
    fencing_token: int


class HoldRequest(msgspec.Struct, rename="pascal", omit_defaults=True):
    """A hold; ``last_acked`` is the highest number of an end that is acknowledged."""

    fencing_token: int
    last_acked: int
    wait_ms: int = 0
    deadline_ms: int = 0


class OrderAnswer(msgspec.Struct):
    """The worker's answer to an order."""

    clock_ms: int | None = msgspec.field(name="ClockMs", default=None)
    reason: str = msgspec.field(name="Reason", default="")


class HoldAnswer(msgspec.Struct):
    """The worker's answer to a hold.

    A running task is a row of [task, attempt, checkpoint, percent, ...], and an
    end a row of [number, task, attempt, how, checkpoint].
    """

    running: list[list[object]] = msgspec.field(name="Running")
    finished: list[list[object]] = msgspec.field(name="Finished")
    clock_ms: int | None = msgspec.field(name="ClockMs", default=None)
    born: int | None = None


class WorkerClient:
    """Sends orders and holds to the worker; each answer is an event for the core.

    Holds have their own connection, as the worker answers them late and orders
    must not wait behind them.
    """

    def __init__(self, loop: IoLoop, address: str, mailbox: Mailbox) -> None:
        """Use the worker at ``host:port``, and the core's mailbox for answers."""
        self.mailbox = mailbox
        self.orders = HttpClient(loop, address, MAX_ORDER_CONNECTIONS, ORDER_TIMEOUT_S)
        self.holds = HttpClient(loop, address, 1, ORDER_TIMEOUT_S)

    @singledispatchmethod
    def perform(self, order: object) -> None:
        """Carry out an order; an unknown type is a programming error."""
        raise TypeError(f"unsupported order {type(order).__name__}")

    @perform.register
    def start(self, order: StartRun) -> None:
        """Order the worker to start a run."""
        sent_ms = now_ms()
        body = StartRequest(
            order.run.task,
            order.run.attempt,
            order.spec,
            order.lease_until_ms,
            order.fencing_token,
        )

        def to_event(answer: HttpResult) -> StartAnswered:
            parsed = parse_answer(answer.body)
            outcome = to_start_answer(answer.status, parsed.reason)
            return StartAnswered(order.run, outcome, sent_ms, parsed.clock_ms)

        self.send_request(self.orders, "/v1/run-start", body, order.worker_id, to_event)

    @perform.register
    def stop(self, order: StopRun) -> None:
        """Order the worker to stop a run."""
        sent_ms = now_ms()
        body = StopRequest(order.run.task, order.run.attempt, order.fencing_token)

        def to_event(answer: HttpResult) -> StopAnswered:
            fenced = parse_answer(answer.body).reason == "fence"
            return StopAnswered(order.run, answer.status != 0, fenced, sent_ms)

        self.send_request(self.orders, "/v1/run-stop", body, order.worker_id, to_event)

    @perform.register
    def hold(self, order: HoldWorker) -> None:
        """Extend the lease, acknowledge ends and request both lists."""
        sent_ms = now_ms()
        body = HoldRequest(
            order.fencing_token,
            order.acknowledged,
            order.wait_ms,
            order.lease_until_ms,
        )

        def to_event(answer: HttpResult) -> HoldAnswered:
            if answer.status != http.HTTPStatus.OK:
                fenced = parse_answer(answer.body).reason == "fence"
                return HoldAnswered(sent_ms, answered=False, fenced=fenced)
            return parse_lists(answer.body, sent_ms)

        timeout_s = order.wait_ms / MS_PER_S + HOLD_TIMEOUT_MARGIN_S
        self.send_request(
            self.holds, "/v1/hold", body, order.worker_id, to_event, timeout_s
        )

    def send_request(
        self,
        client: HttpClient,
        path: str,
        body: msgspec.Struct,
        worker_id: str,
        to_event: Callable[[HttpResult], object],
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        """Send a request; ``to_event`` converts its answer to an event."""
        headers = {"Content-Type": "application/json"}
        if worker_id:
            headers["Expected-Instance"] = worker_id
        future = client.call(
            "POST", path, msgspec.json.encode(body), headers, timeout_s
        )
        future.add_done_callback(
            lambda done: self.handle_answer(path, done.result(), to_event)
        )

    def handle_answer(
        self,
        path: str,
        answer: HttpResult,
        to_event: Callable[[HttpResult], object],
    ) -> None:
        """Pass an answer to the core; one that can't be converted counts as none.

        Without any event the core would wait for this answer for ever.
        """
        try:
            event = to_event(answer)
        except Exception:
            logger.exception("Cannot process the worker's answer to %s.", path)
            event = to_event(NO_ANSWER)
        self.mailbox.put(event)


def to_start_answer(status: int, reason: str) -> StartAnswer:
    """Convert the status and reason of an answer to a start order."""
    if status == 0:
        return StartAnswer.UNANSWERED
    if status == http.HTTPStatus.OK:
        return StartAnswer.STARTED
    if status == HTTP_MISDIRECTED:
        return StartAnswer.OTHER_INCARNATION
    if status == http.HTTPStatus.CONFLICT:
        return START_ANSWER_BY_REASON.get(reason, StartAnswer.REJECTED)
    return StartAnswer.REJECTED


def parse_answer(body: bytes) -> OrderAnswer:
    """Decode the body of an answer; all fields are empty if that fails."""
    if not body:
        return OrderAnswer()
    try:
        return msgspec.json.decode(body, type=OrderAnswer)
    except msgspec.DecodeError as error:
        logger.warning("Cannot decode an answer of the worker: %s.", error)
        return OrderAnswer()


def parse_lists(body: bytes, sent_ms: int) -> HoldAnswered:
    """Decode the lists of runs and ends; if that fails, it counts as no answer."""
    try:
        lists = msgspec.json.decode(body, type=HoldAnswer)
        present = tuple(decode_run(row) for row in lists.running)
        ends = tuple(decode_end(row) for row in lists.finished)
    except (msgspec.DecodeError, msgspec.ValidationError, IndexError) as error:
        logger.warning("Cannot decode the worker's lists of runs and ends: %s.", error)
        return HoldAnswered(sent_ms, answered=False)
    return HoldAnswered(
        sent_ms,
        answered=True,
        clock_ms=lists.clock_ms,
        born_ms=lists.born,
        present=present,
        ends=ends,
    )


def decode_run(row: list[object]) -> ListedRun:
    """Decode a row of the list of runs."""
    run = msgspec.convert([row[0], row[1]], RunRef)
    return ListedRun(run, msgspec.convert(row[3], int, strict=False))


def decode_end(row: list[object]) -> ListedEnd:
    """Decode a row of the list of ends; an unknown word means that it was lost."""
    number = msgspec.convert(row[0], int)
    run = msgspec.convert([row[1], row[2]], RunRef)
    return ListedEnd(number, run, OUTCOME_BY_WORD.get(str(row[3]), ENDED_LOST))
