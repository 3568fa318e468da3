"""Effects that decision code asks its process to carry out."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.decision.link_effects import Connect
from sardineferry.decision.link_effects import Disconnect
from sardineferry.decision.link_effects import Exit
from sardineferry.decision.link_effects import Send
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import JobAnswer
from sardineferry.messages.job import Task

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
