"""Effects that decision code asks its process to carry out."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.job import Attempt
from sardineferry.messages.job import JobAnswer
from sardineferry.messages.job import Task
from sardineferry.messages.wire import WireMessage

__all__ = [
    "Answer",
    "Append",
    "CheckpointTask",
    "Connect",
    "Disconnect",
    "DumpAnswer",
    "Effect",
    "Exit",
    "PresetAnswer",
    "RunTask",
    "Send",
    "StopTask",
    "ThrottleTask",
]


class Send(NamedTuple):
    """Send a message over the link to an entry or agent."""

    to: str
    message: WireMessage


class Connect(NamedTuple):
    """Open a link to an entry at this address."""

    address: str


class Disconnect(NamedTuple):
    """Dial an address no longer; nobody answered there for long."""

    address: str


class Answer(NamedTuple):
    """Answer the caller that waits under the token."""

    token: int
    answer: JobAnswer


class PresetAnswer(NamedTuple):
    """Answer the operator that waits under the token.

    ``outcome`` is accepted, conflict or unknown; ``version`` and ``name`` are
    of the preset in force.
    """

    token: int
    outcome: str
    version: int
    name: str


class DumpAnswer(NamedTuple):
    """Answer a request for the state of an agent with JSON text."""

    token: int
    text: str


class Append(NamedTuple):
    """Append a record to a stream of the log; the id makes it idempotent."""

    stream: str
    record_id: str
    body: str


class RunTask(NamedTuple):
    """Call the target with a task, within ``budget_ms``."""

    attempt: Attempt
    task: Task
    budget_ms: int


class StopTask(NamedTuple):
    """Stop a running idempotent task at the target."""

    attempt: Attempt


class ThrottleTask(NamedTuple):
    """Throttle a running task at the worker."""

    attempt: Attempt


class CheckpointTask(NamedTuple):
    """Checkpoint a running task at the worker."""

    attempt: Attempt


class Exit(NamedTuple):
    """End the process; nothing is in flight."""

    reason: str


Effect = (
    Answer
    | Append
    | CheckpointTask
    | Connect
    | Disconnect
    | DumpAnswer
    | Exit
    | PresetAnswer
    | RunTask
    | Send
    | StopTask
    | ThrottleTask
)
