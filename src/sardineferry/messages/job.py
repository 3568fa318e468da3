"""Jobs, tasks and their outcomes, as callers and entries exchange them."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

__all__ = [
    "Attempt",
    "Job",
    "JobAnswer",
    "JobState",
    "OutcomeState",
    "Task",
    "TaskOutcome",
    "TaskResult",
]

JobState = Literal["pending", "complete", "failed", "not_run", "unknown"]
OutcomeState = Literal["answered", "failed", "not_run", "unknown"]


class Task(NamedTuple):
    """One unit of work of a job.

    ``run_ms`` is the declared run time in milliseconds and ``memory_mb`` the
    declared memory in megabytes; both are hints.
    """

    id: str
    kind: str
    idempotent: bool
    payload: str
    processors: int = 1
    memory_mb: int = 0
    accelerators: int = 0
    run_ms: int = 0


class Job(NamedTuple):
    """A submission: tasks that share a key, a team and a time budget in ms.

    ``resubmission`` is false only when the caller states that the key was
    never submitted before.
    """

    submission: str
    team: str
    budget_ms: int
    tasks: tuple[Task, ...]
    resubmission: bool = True


class Attempt(NamedTuple):
    """Identifies one attempt at one task of one submission."""

    submission: str
    task: str
    number: int


class TaskResult(NamedTuple):
    """What a target answered for one task; ``run_ms`` is in milliseconds."""

    state: OutcomeState
    answer: str
    reason: str
    run_ms: int


class TaskOutcome(NamedTuple):
    """The final outcome of one task as its caller sees it."""

    id: str
    state: OutcomeState
    answer: str
    reason: str


class JobAnswer(NamedTuple):
    """The whole answer to a submission.

    ``retry_after_ms`` is above zero when a later submission may succeed.
    """

    submission: str
    state: JobState
    reason: str
    retry_after_ms: int
    outcomes: tuple[TaskOutcome, ...]
