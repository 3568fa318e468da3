"""Jobs and tasks as an entry holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import xxhash

from sardineferry.charts import load_chart
from sardineferry.messages.job import JobAnswer
from sardineferry.messages.job import TaskOutcome
from sardineferry.messages.wire import ReportedTask

if TYPE_CHECKING:
    from sardineferry.messages.job import Job
    from sardineferry.messages.job import JobState
    from sardineferry.messages.job import OutcomeState
    from sardineferry.messages.job import Task

__all__ = [
    "FoundRow",
    "JobEntry",
    "TaskEntry",
    "Waiter",
    "fingerprint_of",
    "whole_answer",
]


def fingerprint_of(job: Job) -> str:
    """Return a digest of the team and tasks of a job."""
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode((job.team, job.tasks)))


class Waiter:
    """Someone who waits for a job's answer: a caller here or a peer.

    ``link`` is empty for a caller of this entry.
    """

    __slots__ = ("link", "token")

    def __init__(self, token: int, link: str = "") -> None:
        """Name the token, and the peer's link if it was forwarded."""
        self.token = token
        self.link = link


class FoundRow(NamedTuple):
    """A row of an agent's start table, as reported for a recovery."""

    agent: str
    row: ReportedTask


class TaskEntry:
    """One task: its state, and the attempts in flight by agent name.

    ``started`` says that an attempt may have run; ``tried`` names agents on
    which an attempt failed.
    """

    __slots__ = (
        "answer",
        "failures",
        "job",
        "not_before_ms",
        "number",
        "placed",
        "queued",
        "queued_at_ms",
        "reason",
        "sent_at_ms",
        "started",
        "state",
        "task",
        "tried",
    )

    def __init__(self, task: Task, job: JobEntry) -> None:
        """Start waiting."""
        self.task = task
        self.job = job
        self.state = load_chart("task").initial
        self.number = 0
        self.placed: dict[str, int] = {}
        self.tried: set[str] = set()
        self.failures = 0
        self.started = False
        self.queued = False
        self.queued_at_ms = 0
        self.not_before_ms = 0
        self.sent_at_ms = 0
        self.answer = ""
        self.reason = ""

    def advance(self, event: str) -> None:
        """Move along the chart."""
        self.state = load_chart("task").advance(self.state, event)

    def is_final(self) -> bool:
        """Tell whether the outcome stands."""
        return self.state in load_chart("task").final

    def outcome(self) -> TaskOutcome:
        """Return the outcome as the caller sees it."""
        state: OutcomeState = self.state  # type: ignore[assignment]
        return TaskOutcome(self.task.id, state, self.answer, self.reason)


class JobEntry:
    """One submission; times are on the entry's clock in milliseconds.

    ``admitted`` says that tasks may have been sent from here; ``fresh`` that
    nothing of the submission was sent before its claim. ``answer`` is the
    owner's answer to a forwarded job.
    """

    __slots__ = (
        "admitted",
        "answer",
        "asked",
        "cancelled",
        "claim_until_ms",
        "deadline_ms",
        "epoch",
        "fingerprint",
        "finished_at_ms",
        "forward_link",
        "forwarded_at_ms",
        "found",
        "fresh",
        "job",
        "needs_claim",
        "open_tasks",
        "reason",
        "recovery_until_ms",
        "reported",
        "retry_after_ms",
        "roster",
        "state",
        "submitted_at_ms",
        "tasks",
        "waiters",
    )

    def __init__(self, job: Job, fingerprint: str, now_ms: int) -> None:
        """Start before admission."""
        self.job = job
        self.fingerprint = fingerprint
        self.state = load_chart("job").initial
        self.submitted_at_ms = now_ms
        self.deadline_ms = now_ms + job.budget_ms
        self.claim_until_ms = 0
        self.recovery_until_ms = 0
        self.finished_at_ms = 0
        self.forwarded_at_ms = 0
        self.forward_link = ""
        self.found: dict[str, list[FoundRow]] = {}
        self.epoch = 0
        self.roster: frozenset[str] | None = None
        self.asked: frozenset[str] = frozenset()
        self.reported: set[str] = set()
        self.needs_claim = any(not task.idempotent for task in job.tasks)
        self.cancelled = False
        self.admitted = False
        self.fresh = True
        self.answer: JobAnswer | None = None
        self.reason = ""
        self.retry_after_ms = 0
        self.waiters: list[Waiter] = []
        self.tasks = {task.id: TaskEntry(task, self) for task in job.tasks}
        self.open_tasks = len(self.tasks)

    def advance(self, event: str) -> None:
        """Move along the chart."""
        self.state = load_chart("job").advance(self.state, event)

    def inherit(self, earlier: JobEntry) -> None:
        """Continue the attempt numbers of an earlier, refused submission."""
        for name, task in earlier.tasks.items():
            self.tasks[name].number = task.number

    def is_final(self) -> bool:
        """Tell whether the answer stands."""
        return self.state in load_chart("job").final


def whole_answer(entry: JobEntry) -> JobAnswer:
    """Return the answer to the whole job, or a pending one."""
    submission = entry.job.submission
    if entry.answer is not None:
        return entry.answer
    if not entry.is_final():
        return JobAnswer(submission, "pending", entry.state, 0, ())
    state: JobState = entry.state  # type: ignore[assignment]
    outcomes = tuple(task.outcome() for task in entry.tasks.values() if task.is_final())
    return JobAnswer(submission, state, entry.reason, entry.retry_after_ms, outcomes)
