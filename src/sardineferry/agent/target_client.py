"""Calls the target over HTTP from a bounded pool of threads."""

from __future__ import annotations

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from sardineferry.clock import now_ms
from sardineferry.decision.events import TargetFinished
from sardineferry.decision.events import TargetRefused
from sardineferry.logs import part_logger
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import OutcomeState
from sardineferry.messages.job import TaskResult

if TYPE_CHECKING:
    from sardineferry.decision.effects import RunTask
    from sardineferry.mailbox import Mailbox

__all__ = ["TargetClient", "TargetError"]

IDLE_LIMIT_S = 5.0
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


class Connection(NamedTuple):
    """A kept connection and when it was last used (monotonic seconds)."""

    http: http.client.HTTPConnection
    used_at_s: float

    def is_usable(self) -> bool:
        """Tell whether it is open and was idle for a short time only."""
        idle_s = time.monotonic() - self.used_at_s
        return self.http.sock is not None and idle_s < IDLE_LIMIT_S


class TargetClient:
    """Owns the connections to the target, one per thread of the pool."""

    def __init__(self, address: str, width: int, mailbox: Mailbox) -> None:
        """Name the target's ``host:port`` and how many calls may run."""
        self.address = address
        self.mailbox = mailbox
        self.pool = ThreadPoolExecutor(width, thread_name_prefix="call")
        self.control_pool = ThreadPoolExecutor(1, thread_name_prefix="control")
        self.kept = threading.local()

    def run(self, effect: RunTask) -> None:
        """Call the target in the background; the core gets the outcome."""
        self.pool.submit(self.call, effect)

    def control(self, action: str, attempt: Attempt) -> None:
        """Throttle, checkpoint or stop a task, without waiting."""
        self.control_pool.submit(self.send_control, action, attempt)

    def call(self, effect: RunTask) -> None:
        """Run one task and report its outcome."""
        started_ms = now_ms()
        attempt = effect.attempt
        try:
            state, text, reason = self.request(effect)
        except TargetError as error:
            if not error.started:
                self.mailbox.put(TargetRefused(attempt, str(error)))
                return
            state, text, reason = "unknown", "", str(error)
        result = TaskResult(state, text, reason, now_ms() - started_ms)
        self.mailbox.put(TargetFinished(attempt, result))

    def request(self, effect: RunTask) -> tuple[OutcomeState, str, str]:
        """Make the call and classify its answer.

        Raises:
            TargetError: The call did not give an answer.

        """
        connection = self.connect(max(0.001, effect.budget_ms / 1_000))
        body = msgspec.json.encode(
            {
                "submission": effect.attempt.submission,
                "attempt": effect.attempt.number,
                **effect.task._asdict(),
            }
        )
        try:
            connection.request("POST", "/run", body)
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.drop()
            raise TargetError(f"call failed: {error!r}", started=True) from error
        self.kept.connection = Connection(connection, time.monotonic())
        return classify(response.status, text)

    def connect(self, timeout_s: float) -> http.client.HTTPConnection:
        """Return this thread's connection, opened anew when long idle.

        Raises:
            TargetError: The target doesn't accept connections.

        """
        kept: Connection | None = getattr(self.kept, "connection", None)
        if kept is not None and kept.is_usable():
            kept.http.sock.settimeout(timeout_s)
            return kept.http
        self.drop()
        connection = http.client.HTTPConnection(self.address, timeout=timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise TargetError(f"cannot connect: {error}", started=False) from error
        return connection

    def drop(self) -> None:
        """Close this thread's connection."""
        kept: Connection | None = getattr(self.kept, "connection", None)
        if kept is not None:
            kept.http.close()
        self.kept.connection = None

    def send_control(self, action: str, attempt: Attempt) -> None:
        """Send a control call; a failure is only logged."""
        connection = http.client.HTTPConnection(self.address, timeout=CONTROL_TIMEOUT_S)
        try:
            body = msgspec.json.encode(attempt._asdict())
            connection.request("POST", f"/{action}", body)
            connection.getresponse().read()
        except (OSError, http.client.HTTPException) as error:
            logger.warning("Control call {} failed: {!r}.", action, error)
        finally:
            connection.close()


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
