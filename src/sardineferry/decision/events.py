"""Events that a process passes to decision code, besides messages of links.

A ``token`` identifies the request that the process has to answer.
"""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.decision.common_events import AddressesRead
from sardineferry.decision.common_events import Drain
from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.decision.common_events import SendRejected
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import Job
from sardineferry.messages.job import TaskResult

__all__ = [
    "AddressesRead",
    "AppendFailed",
    "CancelJob",
    "Drain",
    "DrainAgent",
    "DumpAgent",
    "LinkDown",
    "LinkUp",
    "LogRecord",
    "LogRecords",
    "PollJob",
    "SendRejected",
    "SetPreset",
    "Submit",
    "TargetFinished",
    "TargetRefused",
    "TaskUsage",
    "UsageReported",
]


class Submit(NamedTuple):
    """A caller submits a job and waits for its answer."""

    token: int
    job: Job


class PollJob(NamedTuple):
    """A caller asks for the state of a job.

    With ``wait`` true, the answer is sent when the job has ended.
    """

    token: int
    submission: str
    wait: bool


class CancelJob(NamedTuple):
    """A caller cancels a job."""

    token: int
    submission: str


class SetPreset(NamedTuple):
    """An operator changes the preset that has version ``expected_version``."""

    token: int
    record_id: str
    name: str
    expected_version: int


class DumpAgent(NamedTuple):
    """An operator asks for the state of an agent."""

    token: int
    agent: str


class DrainAgent(NamedTuple):
    """An operator asks for an agent to be drained."""

    token: int
    agent: str


class LogRecord(NamedTuple):
    """A record of a log stream."""

    offset: int
    record_id: str
    body: str


class LogRecords(NamedTuple):
    """Records read from a stream, in order of offset.

    ``first_offset`` is the oldest offset that the log still keeps. No records
    means that the reader has reached the end of the stream.
    """

    stream: str
    first_offset: int
    records: tuple[LogRecord, ...]


class AppendFailed(NamedTuple):
    """An append was refused, or its outcome is unknown; it may be repeated."""

    stream: str
    record_id: str


class TargetFinished(NamedTuple):
    """The target answered, or the call ended and the outcome is unknown."""

    attempt: Attempt
    result: TaskResult


class TargetRefused(NamedTuple):
    """The target certainly did not start the task."""

    attempt: Attempt
    reason: str


class TaskUsage(NamedTuple):
    """The measured use of a running task; ``processors`` may be a fraction."""

    attempt: Attempt
    processors: float
    memory_mb: int


class UsageReported(NamedTuple):
    """The latest measured use of the tasks that run on the worker."""

    tasks: tuple[TaskUsage, ...]
