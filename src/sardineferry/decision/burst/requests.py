"""What callers ask of an entry about burst jobs, and what they are told."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sardineferry.messages.burst import Resources

__all__ = [
    "BurstJob",
    "BurstReply",
    "BurstStep",
    "CallerLeft",
    "CancelJob",
    "ConfigurationRead",
    "ReplyKind",
    "ShowJob",
    "ShowQueue",
    "SubmitJob",
]


class BurstStep(NamedTuple):
    """Tasks that are alike; ``required_label`` is empty if none is required."""

    tasks: int
    need: Resources
    estimate_ms: int
    required_label: str
    preferred_rack: str
    spread_limit: int


class BurstJob(NamedTuple):
    """A job as submitted.

    ``unsupported`` names the first thing asked for that this version does not
    provide, and is empty if there is none.
    """

    job_id: str
    spec: str
    steps: tuple[BurstStep, ...]
    unsupported: str


class SubmitJob(NamedTuple):
    """A caller submits a job and waits under the token."""

    token: int
    host: str
    path: str
    job: BurstJob


class CallerLeft(NamedTuple):
    """The caller that waits under the token is gone."""

    token: int


class CancelJob(NamedTuple):
    """A caller cancels a job."""

    token: int
    host: str
    path: str


class ShowJob(NamedTuple):
    """A caller asks for a job's state."""

    token: int
    host: str
    path: str


class ShowQueue(NamedTuple):
    """A caller asks how many jobs of a route have not begun."""

    token: int
    host: str
    path: str


class ConfigurationRead(NamedTuple):
    """A configuration was read from the platform's store."""

    text: bytes


class ReplyKind(Enum):
    """What a caller is told."""

    COMPLETED = "completed"
    FAILED = "failed"
    RUNNING = "running"
    QUEUED = "queued"
    CANCELLED = "cancelled"
    # Nothing of the job was started, and nothing will be.
    NOT_RUN = "not run"
    NO_ROUTE = "no route"
    NO_JOB = "no job"
    QUEUE_LENGTH = "queue length"
    # The outcome is not known: the connection ends without an answer.
    NO_ANSWER = "no answer"


class BurstReply(NamedTuple):
    """The answer to the caller that waits under the token."""

    token: int
    kind: ReplyKind
    reason: str = ""
    retry_after_ms: int = 0
    queue_length: int = 0
