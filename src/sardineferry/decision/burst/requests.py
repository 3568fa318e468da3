"""Callers' requests to an entry about burst jobs, and the replies."""

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
    """A number of identical tasks.

    An empty label or a ``spread_limit`` of 0 means no constraint. ``preferred_rack``
    is where the data of the tasks is; empty if it is not known.
    """

    tasks: int
    need: Resources
    estimate_ms: int
    required_label: str
    preferred_rack: str
    spread_limit: int


class BurstJob(NamedTuple):
    """A job as submitted.

    ``unsupported`` names the first requested feature that this version does not
    support; it is empty if there is none.
    """

    job_id: str
    spec: str
    steps: tuple[BurstStep, ...]
    unsupported: str


class SubmitJob(NamedTuple):
    """A caller submits a job; the token identifies its request.

    The caller stops waiting ``deadline_ms`` after it has sent the request; 0 means
    that it has no deadline.
    """

    token: int
    host: str
    path: str
    job: BurstJob
    deadline_ms: int = 0


class CallerLeft(NamedTuple):
    """The caller of this request has disconnected."""

    token: int


class CancelJob(NamedTuple):
    """A caller cancels the job that the path names."""

    token: int
    host: str
    path: str


class ShowJob(NamedTuple):
    """A caller asks for the state of the job that the path names."""

    token: int
    host: str
    path: str


class ShowQueue(NamedTuple):
    """A caller asks how many jobs of a route have no task that runs or may have run."""

    token: int
    host: str
    path: str


class ConfigurationRead(NamedTuple):
    """A configuration was read from the platform's store."""

    text: bytes


class ReplyKind(Enum):
    """The kinds of replies to callers."""

    COMPLETED = "completed"
    FAILED = "failed"
    RUNNING = "running"
    QUEUED = "queued"
    CANCELLED = "cancelled"
    # No run of this submission was started, and none will be. Also the reply to
    # other requests while the entry has no configuration.
    NOT_RUN = "not run"
    NO_ROUTE = "no route"
    NO_JOB = "no job"
    QUEUE_LENGTH = "queue length"
    # The outcome is unknown: the connection is closed without an answer.
    NO_ANSWER = "no answer"


class BurstReply(NamedTuple):
    """The reply to the request with this token."""

    token: int
    kind: ReplyKind
    reason: str = ""
    retry_after_ms: int = 0
    queue_length: int = 0
