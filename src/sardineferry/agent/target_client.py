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
    """A call to run a task got no answer, or the target refused the task.

    ``started`` is false only if the target certainly did not start the task.
    """

    def __init__(self, reason: str, started: bool) -> None:
        """Set the reason and whether the task may have started."""
        super().__init__(reason)
        self.started = started


class RunAnswer(msgspec.Struct):
    """The target's answer to a task; ``started`` is false if it refused the task."""

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
        call = self.run_client.call("POST", "/run", body, JSON_HEADERS, timeout_s)
        call.add_done_callback(
            lambda done: self.handle_answer(effect.attempt, started_ms, done.result())
        )

    def handle_answer(
        self, attempt: Attempt, started_ms: int, answer: HttpResult
    ) -> None:
        """Pass the outcome of an attempt to the core."""
        try:
            state, text, reason = parse_outcome(answer)
        except TargetError as error:
            if not error.started:
                self.mailbox.put(TargetRefused(attempt, str(error)))
                return
            state, text, reason = "unknown", "", str(error)
        result = TaskResult(state, text, reason, now_ms() - started_ms)
        self.mailbox.put(TargetFinished(attempt, result))

    def send_control(self, action: str, attempt: Attempt) -> None:
        """Throttle, checkpoint or stop a task; a call without an answer is logged."""
        body = msgspec.json.encode(attempt._asdict())
        call = self.control_client.call(
            "POST", f"/{action}", body, JSON_HEADERS, CONTROL_TIMEOUT_S
        )
        call.add_done_callback(
            lambda done: log_unanswered_control(action, done.result())
        )


def log_unanswered_control(action: str, answer: HttpResult) -> None:
    """Log a control call if it got no answer."""
    if answer.status == 0:
        logger.warning("Control call %s failed: %s.", action, answer.reason)


def parse_outcome(answer: HttpResult) -> tuple[OutcomeState, str, str]:
    """Return a task's state, the target's answer and the reason of a failure.

    Raises:
        TargetError: The call got no answer, or the target refused the task.

    """
    if answer.status == 0:
        raise TargetError(f"call failed: {answer.reason}", started=answer.sent)
    return outcome_by_status(answer.status, answer.body)


def outcome_by_status(status: int, text: bytes) -> tuple[OutcomeState, str, str]:
    """Return what ``parse_outcome`` returns, for the status and body of an answer.

    Raises:
        TargetError: The target refused the task.

    """
    try:
        body = msgspec.json.decode(text, type=RunAnswer)
    except msgspec.DecodeError:
        body = RunAnswer(reason=f"status {status} without a body")
    if status == HTTP_OK:
        return "answered", body.answer, ""
    if not body.started:
        raise TargetError(body.reason or "refused by the target", started=False)
    if status >= HTTP_SERVER_ERROR:
        return "unknown", "", body.reason or f"status {status}"
    return "failed", "", body.reason or f"status {status}"
