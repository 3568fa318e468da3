"""Runs and controls tasks on the target over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineferry.clock import now_ms
from sardineferry.decision.events import TargetFinished
from sardineferry.decision.events import TargetRefused
from sardineferry.logs import part_logger
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import OutcomeState
from sardineferry.messages.job import TaskResult
from sardineferry.web import HttpClient

if TYPE_CHECKING:
    from sardineferry.decision.effects import RunTask
    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.web import HttpResult

__all__ = ["TargetClient", "TargetError"]

JSON_HEADERS = {"Content-Type": "application/json"}
CONTROL_TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_SERVER_ERROR = 500

logger = part_logger("target")


class TargetError(Exception):
    """A call to run a task got no response, or the target refused the task.

    ``started`` is false only if the target certainly did not start the task.
    """

    def __init__(self, reason: str, started: bool) -> None:
        """Set the reason and whether the task may have started."""
        super().__init__(reason)
        self.started = started


class RunResponseBody(msgspec.Struct):
    """The body of a response to a task; ``started`` is false if it was refused."""

    answer: str = ""
    reason: str = ""
    started: bool = True


class TargetClient:
    """Sends tasks and control calls to the target.

    Control calls have their own connection, so that they don't wait behind tasks.
    """

    def __init__(
        self, loop: IoLoop, address: str, max_running: int, mailbox: Mailbox
    ) -> None:
        """Use the target at ``host:port`` for at most ``max_running`` tasks at once."""
        self.mailbox = mailbox
        self.run_client = HttpClient(loop, address, max_running)
        self.control_client = HttpClient(loop, address, 1)

    def run(self, effect: RunTask) -> None:
        """Run a task on the target and pass its outcome to the core."""
        started_ms = now_ms()
        body = msgspec.json.encode(
            {
                "submission": effect.attempt.submission,
                "attempt": effect.attempt.number,
                **effect.task._asdict(),
            }
        )
        timeout_s = max(0.001, effect.budget_ms / 1_000)
        future = self.run_client.call("POST", "/run", body, JSON_HEADERS, timeout_s)
        future.add_done_callback(
            lambda done: self.handle_result(effect.attempt, started_ms, done.result())
        )

    def handle_result(
        self, attempt: Attempt, started_ms: int, http_result: HttpResult
    ) -> None:
        """Pass the outcome of an attempt to the core."""
        try:
            state, answer, reason = parse_outcome(http_result)
        except TargetError as error:
            if not error.started:
                self.mailbox.put(TargetRefused(attempt, str(error)))
                return
            state, answer, reason = "unknown", "", str(error)
        result = TaskResult(state, answer, reason, now_ms() - started_ms)
        self.mailbox.put(TargetFinished(attempt, result))

    def send_control(self, action: str, attempt: Attempt) -> None:
        """Throttle, checkpoint or stop a task; a call without a response is logged."""
        body = msgspec.json.encode(attempt._asdict())
        future = self.control_client.call(
            "POST", f"/{action}", body, JSON_HEADERS, CONTROL_TIMEOUT_S
        )
        future.add_done_callback(
            lambda done: log_unanswered_control(action, done.result())
        )


def log_unanswered_control(action: str, result: HttpResult) -> None:
    """Log a control call if it got no response."""
    if result.status == 0:
        logger.warning("Control call %s failed: %s.", action, result.reason)


def parse_outcome(result: HttpResult) -> tuple[OutcomeState, str, str]:
    """Return a task's state, the target's answer and the reason of a failure.

    Raises:
        TargetError: The call got no response, or the target refused the task.

    """
    if result.status == 0:
        raise TargetError(f"call failed: {result.reason}", started=result.sent)
    return outcome_of_response(result.status, result.body)


def outcome_of_response(status: int, body: bytes) -> tuple[OutcomeState, str, str]:
    """Return what ``parse_outcome`` returns, for the status and body of a response.

    The target refused the task if the body says that it was not started, whatever
    the error status. Otherwise, after a server error it is unknown whether the task
    took effect; another error status means that it was rejected or that it failed.

    Raises:
        TargetError: The target refused the task.

    """
    try:
        parsed = msgspec.json.decode(body, type=RunResponseBody)
    except msgspec.DecodeError:
        # The body is empty or can't be decoded.
        parsed = RunResponseBody(reason=f"status {status} without a body")
    if status == HTTP_OK:
        return "answered", parsed.answer, ""
    if not parsed.started:
        raise TargetError(parsed.reason or "refused by the target", started=False)
    if status >= HTTP_SERVER_ERROR:
        return "unknown", "", parsed.reason or f"status {status}"
    return "failed", "", parsed.reason or f"status {status}"
