"""Jobs, tasks and their results."""

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
    """A task of a job.

    ``run_ms`` and ``memory_mb`` are what the caller expects it to take; both
    are hints. ``kind`` groups similar tasks: run times and sizes are learned
    for each kind.
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
    """A job: tasks that share a submission key, a team and a time budget.

    ``resubmission`` is false only if the caller states that this key has never
    been submitted before.
    """

    submission: str
    team: str
    budget_ms: int
    tasks: tuple[Task, ...]
    resubmission: bool = True


class Attempt(NamedTuple):
    """Identifies an attempt to run a task of a submission."""

    submission: str
    task: str
    number: int


class TaskResult(NamedTuple):
    """The result of an attempt, as the target answered or as its agent found."""

    state: OutcomeState
    answer: str
    reason: str
    run_ms: int


class TaskOutcome(NamedTuple):
    """The final outcome of a task, as its caller sees it."""

    id: str
    state: OutcomeState
    answer: str
    reason: str


class JobAnswer(NamedTuple):
    """The answer to a submission, with the outcome of each task.

    ``retry_after_ms`` is above zero if submitting again after that time may
    succeed.
    """

    submission: str
    state: JobState
    reason: str
    retry_after_ms: int
    outcomes: tuple[TaskOutcome, ...]
