"""Calls the target over HTTP."""

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
    """A call to the target failed.

    ``started`` is false only when the target provably did not get the task.
    """

    def __init__(self, reason: str, started: bool) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.started = started


class RunAnswer(msgspec.Struct):
    """What a target answers; ``started`` is false if it refused the task."""

    answer: str = ""
    reason: str = ""
    started: bool = True


class TargetClient:
    """Calls to the target, a bounded number at once."""

    def __init__(
        self, loop: IoLoop, address: str, width: int, mailbox: Mailbox
    ) -> None:
        """Name the target's ``host:port`` and how many tasks may run."""
        self.mailbox = mailbox
        self.runs = HttpClient(loop, address, width)
        self.controls = HttpClient(loop, address, 1)

    def run(self, effect: RunTask) -> None:
        """Call the target; the core gets the outcome."""
        started_ms = now_ms()
        body = msgspec.json.encode(
            {
                "submission": effect.attempt.submission,
                "attempt": effect.attempt.number,
                **effect.task._asdict(),
            }
        )
        timeout_s = max(0.001, effect.budget_ms / 1_000)
        call = self.runs.call("POST", "/run", body, JSON_HEADERS, timeout_s)
        call.add_done_callback(
            lambda done: self.finish(effect.attempt, started_ms, done.result())
        )

    def finish(self, attempt: Attempt, started_ms: int, answer: HttpResult) -> None:
        """Report the outcome of a call."""
        try:
            state, text, reason = outcome_of(answer)
        except TargetError as error:
            if not error.started:
                self.mailbox.put(TargetRefused(attempt, str(error)))
                return
            state, text, reason = "unknown", "", str(error)
        result = TaskResult(state, text, reason, now_ms() - started_ms)
        self.mailbox.put(TargetFinished(attempt, result))

    def control(self, action: str, attempt: Attempt) -> None:
        """Throttle, checkpoint or stop a task; a failure is only logged."""
        body = msgspec.json.encode(attempt._asdict())
        call = self.controls.call(
            "POST", f"/{action}", body, JSON_HEADERS, CONTROL_TIMEOUT_S
        )
        call.add_done_callback(lambda done: log_control(action, done.result()))


def log_control(action: str, answer: HttpResult) -> None:
    """Log a control call that had no answer."""
    if answer.status == 0:
        logger.warning("Control call %s failed: %s.", action, answer.reason)


def outcome_of(answer: HttpResult) -> tuple[OutcomeState, str, str]:
    """Classify an answer.

    Raises:
        TargetError: The call did not give an answer, or the target refused.

    """
    if answer.status == 0:
        raise TargetError(f"call failed: {answer.reason}", started=answer.sent)
    return classify(answer.status, answer.body)


def classify(status: int, text: bytes) -> tuple[OutcomeState, str, str]:
    """Map the target's status to an outcome.

    Raises:
        TargetError: The target says that it did not start the task.

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
