"""Events that processes hand to decision code, besides wire messages."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.decision.link_events import AddressesRead
from sardineferry.decision.link_events import Drain
from sardineferry.decision.link_events import LinkDown
from sardineferry.decision.link_events import LinkUp
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
    "SetPreset",
    "Submit",
    "TargetFinished",
    "TargetRefused",
    "TaskUsage",
    "UsageReported",
]


class Submit(NamedTuple):
    """A caller submits a job and waits under the token."""

    token: int
    job: Job


class PollJob(NamedTuple):
    """A caller asks for a job's answer; ``wait`` defers it until the end."""

    token: int
    submission: str
    wait: bool


class CancelJob(NamedTuple):
    """A caller cancels a job."""

    token: int
    submission: str


class SetPreset(NamedTuple):
    """An operator sets a preset, naming the version it replaces."""

    token: int
    record_id: str
    name: str
    expected_version: int


class DumpAgent(NamedTuple):
    """An operator asks for the state of an agent."""

    token: int
    agent: str


class DrainAgent(NamedTuple):
    """An operator drains an agent."""

    token: int
    agent: str


class LogRecord(NamedTuple):
    """One record of a log stream."""

    offset: int
    record_id: str
    body: str


class LogRecords(NamedTuple):
    """Records read from a stream, in order of offset.

    ``first_offset`` is the oldest offset the log still keeps. Without records
    the reader was at the end of the stream.
    """

    stream: str
    first_offset: int
    records: tuple[LogRecord, ...]


class AppendFailed(NamedTuple):
    """An append was refused, or its outcome is not known yet."""

    stream: str
    record_id: str


class TargetFinished(NamedTuple):
    """The target answered, or the call ended without a known outcome."""

    attempt: Attempt
    result: TaskResult


class TargetRefused(NamedTuple):
    """The target provably did not start the task."""

    attempt: Attempt
    reason: str


class TaskUsage(NamedTuple):
    """Measured use of one running task; ``processors`` may be a fraction."""

    attempt: Attempt
    processors: float
    memory_mb: int


class UsageReported(NamedTuple):
    """A worker's lagging report of what its running tasks use."""

    tasks: tuple[TaskUsage, ...]
