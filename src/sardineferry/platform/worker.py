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
from sardineferry.platform.json_values import Integer
from sardineferry.web import HttpClient
from sardineferry.web import HttpResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox

__all__ = ["WorkerClient"]

# A worker usually responds within a few ms. The core repeats an order without a
# response in this time, with the same attempt number.
ORDER_TIMEOUT_S = 0.04
# Enough to start a job of up to 32 tasks on one worker at once.
MAX_ORDER_CONNECTIONS = 6
# A hold's timeout is longer by this than the time that the worker may wait before
# it responds.
HOLD_TIMEOUT_MARGIN_S = 0.06
HTTP_MISDIRECTED = 421
MS_PER_S = 1_000

# After these responses to a stop, the run has been stopped, the fencing token has to
# be raised, or the run has ended with the worker's earlier incarnation. An unhealthy
# worker responds with 429 or 5xx and has done nothing.
STOP_ANSWER_STATUSES = frozenset(
    (http.HTTPStatus.OK, http.HTTPStatus.CONFLICT, HTTP_MISDIRECTED)
)
# With these responses to a start, the worker has started nothing: it can't read the
# request, or is unhealthy.
REJECTED_STATUSES = frozenset(
    (
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
ENDED_BY_OUTCOME = {"done": ENDED_DONE, "failed": ENDED_FAILED}
# Replaces a response that can't be processed, or to a request that can't be sent.
NO_RESPONSE = HttpResult(0, b"", "unreadable")
START_ANSWER_BY_REASON = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.SUPERSEDED,
    "late": StartAnswer.LATE,
    "room": StartAnswer.NO_ROOM,
}

logger = part_logger("worker")


class StartRequest(msgspec.Struct, rename="pascal"):
    """An order to start a run; ``deadline_ms`` is on the worker's clock."""

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
    """A hold: extends the lease and asks for the worker's runs and ended runs.

    ``last_acked`` is the highest number of an ended run that is acknowledged. The
    worker responds when a run ends, or after ``wait_ms``. ``deadline_ms`` is the
    end of the lease on the worker's clock; 0 leaves the lease as it is.
    """

    fencing_token: int
    last_acked: int
    wait_ms: int = 0
    deadline_ms: int = 0


class OrderResponse(msgspec.Struct):
    """The body of the worker's response to an order."""

    clock_ms: Integer | None = msgspec.field(name="ClockMs", default=None)
    reason: str = msgspec.field(name="Reason", default="")


class HoldResponse(msgspec.Struct):
    """The body of the worker's response to a hold.

    A running task is a row of [task, attempt, checkpoint, percent, ...], and an
    end a row of [number, task, attempt, how, checkpoint].
    """

    running: list[list[object]] = msgspec.field(name="Running")
    finished: list[list[object]] = msgspec.field(name="Finished")
    clock_ms: Integer | None = msgspec.field(name="ClockMs", default=None)
    born: Integer | None = None


class WorkerClient:
    """Sends orders and holds to the worker, and passes each result to the core.

    Holds have their own connection: the worker delays its response to them, and
    orders must not wait for that.
    """

    def __init__(self, loop: IoLoop, address: str, mailbox: Mailbox) -> None:
        """Use the worker at ``host:port``, and the core's mailbox for results."""
        self.mailbox = mailbox
        self.orders = HttpClient(loop, address, MAX_ORDER_CONNECTIONS, ORDER_TIMEOUT_S)
        self.holds = HttpClient(loop, address, 1, ORDER_TIMEOUT_S)

    @singledispatchmethod
    def perform(self, order: object) -> None:
        """Send an order or a hold to the worker; other types are an error."""
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

        def to_event(result: HttpResult) -> StartAnswered:
            response = decode_order_response(result.body)
            answer = to_start_answer(result.status, response.reason)
            return StartAnswered(
                order.run, answer, sent_ms, response.clock_ms, result.status
            )

        self.send_request(self.orders, "/v1/run-start", body, order.worker_id, to_event)

    @perform.register
    def stop(self, order: StopRun) -> None:
        """Order the worker to stop a run."""
        sent_ms = now_ms()
        body = StopRequest(order.run.task, order.run.attempt, order.fencing_token)

        def to_event(result: HttpResult) -> StopAnswered:
            fenced = decode_order_response(result.body).reason == "fence"
            answered = result.status in STOP_ANSWER_STATUSES
            return StopAnswered(order.run, answered, fenced, sent_ms)

        self.send_request(self.orders, "/v1/run-stop", body, order.worker_id, to_event)

    @perform.register
    def hold(self, order: HoldWorker) -> None:
        """Extend the lease, acknowledge ends and request the lists of runs and ends."""
        sent_ms = now_ms()
        body = HoldRequest(
            order.fencing_token,
            order.acknowledged,
            order.wait_ms,
            order.lease_until_ms,
        )

        def to_event(result: HttpResult) -> HoldAnswered:
            if result.status != http.HTTPStatus.OK:
                fenced = decode_order_response(result.body).reason == "fence"
                misdirected = result.status == HTTP_MISDIRECTED
                return HoldAnswered(sent_ms, False, fenced, misdirected)
            return decode_lists(result.body, sent_ms)

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
        """Send a request; ``to_event`` converts its result to an event."""
        try:
            content = msgspec.json.encode(body)
        except (OverflowError, UnicodeEncodeError):
            logger.exception("A request to %s can't be encoded.", path)
            self.handle_result(path, NO_RESPONSE, to_event)
            return
        headers = {"Content-Type": "application/json"}
        if worker_id:
            headers["Expected-Instance"] = worker_id
        future = client.call("POST", path, content, headers, timeout_s)
        future.add_done_callback(
            lambda done: self.handle_result(path, done.result(), to_event)
        )

    def handle_result(
        self,
        path: str,
        result: HttpResult,
        to_event: Callable[[HttpResult], object],
    ) -> None:
        """Pass a result to the core; an unreadable response counts as none.

        Without any event the core would wait for the result for ever.
        """
        try:
            event = to_event(result)
        except Exception:
            logger.exception("Cannot process the worker's answer to %s.", path)
            event = to_event(NO_RESPONSE)
        self.mailbox.put(event)


def to_start_answer(status: int, reason: str) -> StartAnswer:
    """Convert the status and reason of a response to a start order.

    A status that does not say what the worker did counts as no answer: the run may have
    been started.
    """
    if status == http.HTTPStatus.OK:
        return StartAnswer.STARTED
    if status == HTTP_MISDIRECTED:
        return StartAnswer.OTHER_INCARNATION
    if status == http.HTTPStatus.CONFLICT:
        return START_ANSWER_BY_REASON.get(reason, StartAnswer.REJECTED)
    if status in REJECTED_STATUSES:
        return StartAnswer.REJECTED
    return StartAnswer.UNANSWERED


def decode_order_response(body: bytes) -> OrderResponse:
    """Decode the body of a response; all fields are empty if that fails."""
    if not body:
        return OrderResponse()
    try:
        return msgspec.json.decode(body, type=OrderResponse)
    except msgspec.DecodeError as error:
        logger.warning("Cannot decode an answer of the worker: %s.", error)
        return OrderResponse()


def decode_lists(body: bytes, sent_ms: int) -> HoldAnswered:
    """Decode the lists of runs and ends; undecodable lists count as no answer."""
    try:
        lists = msgspec.json.decode(body, type=HoldResponse)
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
    percent = msgspec.convert(row[3], Integer, strict=False)
    return ListedRun(decode_run_ref(row[0], row[1]), percent)


def decode_run_ref(task: object, attempt: object) -> RunRef:
    """Decode the reference to a run, which is sent on to entries."""
    return RunRef(msgspec.convert(task, str), msgspec.convert(attempt, Integer))


def decode_end(row: list[object]) -> ListedEnd:
    """Decode a row of the list of ends.

    Only "done" and "failed" are outcomes. With any other word, usually "stopped" or
    "lapsed", the run ended without one and counts as lost.
    """
    number = msgspec.convert(row[0], Integer)
    run = decode_run_ref(row[1], row[2])
    return ListedEnd(number, run, ENDED_BY_OUTCOME.get(str(row[3]), ENDED_LOST))
