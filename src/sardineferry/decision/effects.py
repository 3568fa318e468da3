"""Effects: what decision code asks its process to do."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.decision.common_effects import Connect
from sardineferry.decision.common_effects import Disconnect
from sardineferry.decision.common_effects import Exit
from sardineferry.decision.common_effects import Send
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
    """Answer the caller's request that the token identifies."""

    token: int
    answer: JobAnswer


class PresetAnswer(NamedTuple):
    """Answer an operator's change of the preset.

    ``token`` identifies the request. ``outcome`` is "accepted", "conflict" or
    "unknown"; ``version`` and ``name`` are those of the preset in force.
    """

    token: int
    outcome: str
    version: int
    name: str


class DumpAnswer(NamedTuple):
    """Answer an operator's request to dump or drain an agent with JSON text.

    The text is empty if the entry has no link to the agent.
    """

    token: int
    text: str


class Append(NamedTuple):
    """Append a record to a stream of the log.

    Repeated with the same ``record_id``, it adds no second record.
    """

    stream: str
    record_id: str
    body: str


class RunTask(NamedTuple):
    """Run a task on the target; its deadline is ``budget_ms`` from now."""

    attempt: Attempt
    task: Task
    budget_ms: int


class StopTask(NamedTuple):
    """Stop a running idempotent task on the target."""

    attempt: Attempt


class ThrottleTask(NamedTuple):
    """Throttle a running task on the worker."""

    attempt: Attempt


class CheckpointTask(NamedTuple):
    """Checkpoint a running task on the worker."""

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
