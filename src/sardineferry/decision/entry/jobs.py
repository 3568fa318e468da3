"""The state that an entry keeps for each job and task."""

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
    "JOB_BYTES_SHARE",
    "ReportedRow",
    "TrackedJob",
    "TrackedTask",
    "Waiter",
    "build_job_answer",
    "estimate_bytes",
    "fingerprint_of",
    "fits_job_budget",
]


# What an open task takes besides its payload.
TASK_BYTES = 1_000
MAX_CHARACTER_BYTES = 4
JOB_BYTES_SHARE = 0.25


def estimate_bytes(job: Job) -> int:
    """Return about how much memory an open job takes.

    Python stores text with other characters than those of ASCII in up to four bytes for
    each.
    """
    return sum(
        TASK_BYTES
        + len(task.payload) * (1 if task.payload.isascii() else MAX_CHARACTER_BYTES)
        for task in job.tasks
    )


def fits_job_budget(job_bytes: int, held_bytes: int, limit_bytes: int) -> bool:
    """Return whether a job of this size may be opened beside those held.

    It may take a share of what is free, so that small jobs find space beside any number
    of large ones. A single job is always served.
    """
    return not held_bytes or job_bytes <= JOB_BYTES_SHARE * (limit_bytes - held_bytes)


def fingerprint_of(job: Job) -> str:
    """Return a hash of a job's team and tasks.

    It distinguishes a repeated submission from another job under the same key.
    """
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode((job.team, job.tasks)))


class Waiter:
    """A request that waits for a job's answer.

    ``link`` is the peer's link if the peer forwarded the job, and empty for a
    caller of this entry.
    """

    __slots__ = ("link", "token")

    def __init__(self, token: int, link: str = "") -> None:
        """Keep the token under which the request is answered."""
        self.token = token
        self.link = link


class ReportedRow(NamedTuple):
    """A row of an agent's start table, reported for the recovery of a job."""

    agent: str
    row: ReportedTask


class TrackedTask:
    """One task of a tracked job; ``spec`` is the task as the caller sent it.

    ``attempt_number`` is the highest number used for an attempt;
    ``attempt_by_agent`` maps the agents with an attempt in flight to its
    number. ``may_have_run`` is true if an earlier attempt may have run.
    ``failed_agents`` are those on which an attempt failed or was lost.
    ``failures`` counts the delayed retries, and ``not_before_ms`` is when the
    current retry delay ends.
    """

    __slots__ = (
        "answer",
        "attempt_by_agent",
        "attempt_number",
        "failed_agents",
        "failures",
        "job",
        "may_have_run",
        "not_before_ms",
        "queued",
        "queued_at_ms",
        "reason",
        "sent_at_ms",
        "spec",
        "state",
    )

    def __init__(self, spec: Task, job: TrackedJob) -> None:
        """Create a waiting task."""
        self.spec = spec
        self.job = job
        self.state = load_chart("task").initial
        self.attempt_number = 0
        self.attempt_by_agent: dict[str, int] = {}
        self.failed_agents: set[str] = set()
        self.failures = 0
        self.may_have_run = False
        self.queued = False
        self.queued_at_ms = 0
        self.not_before_ms = 0
        self.sent_at_ms = 0
        self.answer = ""
        self.reason = ""

    def advance(self, event: str) -> None:
        """Apply an event of the task state chart.

        Raises:
            ChartError: The event is not allowed in the current state.

        """
        self.state = load_chart("task").advance(self.state, event)

    def is_final(self) -> bool:
        """Return whether the task has its final outcome."""
        return self.state in load_chart("task").final

    def outcome(self) -> TaskOutcome:
        """Return the outcome for the caller's answer."""
        state: OutcomeState = self.state  # type: ignore[assignment]
        return TaskOutcome(self.spec.id, state, self.answer, self.reason)


class TrackedJob:
    """One submission; ``spec`` is the job as the caller sent it.

    ``admitted`` is true if this entry may have sent tasks of it.
    ``no_earlier_claim`` is true if this entry knew of no earlier claim, so no
    other entry can have sent tasks before this entry's claim is valid.
    ``epoch`` is the claimed epoch, and ``roster`` holds the agents that the
    claim allows to start its tasks; without a claim they are 0 and None.
    During a recovery, ``inquired_agents`` are the agents that may have started
    its tasks, ``reported_agents`` those of them that have reported, and
    ``reported_rows`` their rows by task id. ``owner_answer`` is the owner's
    answer to a forwarded job. ``bytes`` is about its size while it is open.
    ``open_tasks`` counts the tasks without a final
    outcome. Times are on this entry's clock; a deadline of 0 is not set.
    """

    __slots__ = (
        "admitted",
        "bytes",
        "cancelled",
        "claim_deadline_ms",
        "deadline_ms",
        "epoch",
        "fingerprint",
        "finished_at_ms",
        "forward_link",
        "forwarded_at_ms",
        "inquired_agents",
        "needs_claim",
        "no_earlier_claim",
        "open_tasks",
        "owner_answer",
        "reason",
        "recovery_deadline_ms",
        "reported_agents",
        "reported_rows",
        "retry_after_ms",
        "roster",
        "spec",
        "state",
        "submitted_at_ms",
        "tasks",
        "waiters",
    )

    def __init__(self, spec: Job, fingerprint: str, now_ms: int) -> None:
        """Create a job that is not yet admitted."""
        self.spec = spec
        self.fingerprint = fingerprint
        self.state = load_chart("job").initial
        self.submitted_at_ms = now_ms
        self.deadline_ms = now_ms + spec.budget_ms
        self.claim_deadline_ms = 0
        self.recovery_deadline_ms = 0
        self.finished_at_ms = 0
        self.forwarded_at_ms = 0
        self.forward_link = ""
        self.reported_rows: dict[str, list[ReportedRow]] = {}
        self.epoch = 0
        self.roster: frozenset[str] | None = None
        self.inquired_agents: frozenset[str] = frozenset()
        self.reported_agents: set[str] = set()
        self.needs_claim = any(not task.idempotent for task in spec.tasks)
        self.cancelled = False
        self.admitted = False
        self.no_earlier_claim = True
        self.owner_answer: JobAnswer | None = None
        self.reason = ""
        self.retry_after_ms = 0
        self.waiters: list[Waiter] = []
        self.bytes = estimate_bytes(spec)
        self.tasks = {task.id: TrackedTask(task, self) for task in spec.tasks}
        self.open_tasks = len(self.tasks)

    def advance(self, event: str) -> None:
        """Apply an event of the job state chart.

        Raises:
            ChartError: The event is not allowed in the current state.

        """
        self.state = load_chart("job").advance(self.state, event)

    def copy_attempt_numbers(self, earlier: TrackedJob) -> None:
        """Continue the attempt numbers of an earlier submission of the key.

        An agent refuses a start whose number is no higher than one that it
        refused before.
        """
        for name, task in earlier.tasks.items():
            self.tasks[name].attempt_number = task.attempt_number

    def release_payloads(self) -> None:
        """Free the payloads of an ended job, which is kept for its answer."""
        self.spec = self.spec._replace(tasks=())
        for task in self.tasks.values():
            if task.spec.payload:
                task.spec = task.spec._replace(payload="")

    def is_final(self) -> bool:
        """Return whether the job has its final answer."""
        return self.state in load_chart("job").final


def build_job_answer(job: TrackedJob) -> JobAnswer:
    """Return the job's final answer, or a pending one while there is none."""
    submission = job.spec.submission
    if job.owner_answer is not None:
        return job.owner_answer
    if not job.is_final():
        return JobAnswer(submission, "pending", job.state, 0, ())
    state: JobState = job.state  # type: ignore[assignment]
    outcomes = tuple(task.outcome() for task in job.tasks.values() if task.is_final())
    return JobAnswer(submission, state, job.reason, job.retry_after_ms, outcomes)
