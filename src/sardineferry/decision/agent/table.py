"""The start table: records every start received, so that no task runs twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.charts import load_chart

if TYPE_CHECKING:
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.job import Task
    from sardineferry.messages.job import TaskResult

__all__ = ["Row", "StartTable", "SubmissionRecord"]


class Row:
    """A task's latest attempt, state and result.

    The state follows the chart "start". ``task`` is kept while it is queued or
    running. A tombstone is the row of an attempt
    that will never start. ``units`` is the capacity that the task reserves,
    ``deadline_ms`` a time of the agent's clock, and ``reply_to`` the entry
    that gets the result.
    """

    __slots__ = (
        "attempt",
        "deadline_ms",
        "reply_to",
        "result",
        "started_at_ms",
        "state",
        "task",
        "units",
    )

    def __init__(
        self, attempt: Attempt, task: Task | None, deadline_ms: int, reply_to: str
    ) -> None:
        """Record a received attempt."""
        chart = load_chart("start")
        self.attempt = attempt
        self.task = task
        self.deadline_ms = deadline_ms
        self.reply_to = reply_to
        self.state = chart.initial
        self.result: TaskResult | None = None
        self.started_at_ms = 0
        self.units = 0

    def advance(self, event: str) -> None:
        """Apply an event of the start state chart.

        Raises:
            ChartError: The event is not allowed in the current state.

        """
        self.state = load_chart("start").advance(self.state, event)


class SubmissionRecord:
    """The rows of one submission, by task.

    Starts with an epoch below ``epoch`` are refused. The record may be purged
    after ``expires_at_ms``.
    """

    __slots__ = ("epoch", "expires_at_ms", "rows")

    def __init__(self) -> None:
        """Start without rows."""
        self.epoch = 0
        self.expires_at_ms = 0
        self.rows: dict[str, Row] = {}


class StartTable:
    """All rows, by submission and task; expired submissions are purged."""

    def __init__(self, max_rows: int) -> None:
        """Limit the table to ``max_rows`` rows."""
        self.max_rows = max_rows
        self.row_count = 0
        self.submissions: dict[str, SubmissionRecord] = {}

    def find(self, submission: str, task: str) -> Row | None:
        """Return the row of a task, if there is one."""
        record = self.submissions.get(submission)
        return record.rows.get(task) if record else None

    def get_or_create(self, submission: str, expires_at_ms: int) -> SubmissionRecord:
        """Return a submission's record, creating it if there is none.

        It is kept at least until ``expires_at_ms``.
        """
        record = self.submissions.get(submission)
        if record is None:
            record = self.submissions[submission] = SubmissionRecord()
        record.expires_at_ms = max(record.expires_at_ms, expires_at_ms)
        return record

    def put(self, record: SubmissionRecord, row: Row) -> None:
        """Add a row, or replace the earlier row of the same task."""
        if row.attempt.task not in record.rows:
            self.row_count += 1
        record.rows[row.attempt.task] = row

    def is_full(self) -> bool:
        """Return whether no further row can be stored."""
        return self.row_count >= self.max_rows

    def purge(self, now_ms: int) -> None:
        """Remove expired submissions that have no queued or running task."""
        expired = [
            submission
            for submission, record in self.submissions.items()
            if record.expires_at_ms <= now_ms and not has_unfinished_rows(record)
        ]
        for submission in expired:
            self.row_count -= len(self.submissions.pop(submission).rows)


def has_unfinished_rows(record: SubmissionRecord) -> bool:
    """Return whether a row is queued or running."""
    final = load_chart("start").final
    return any(row.state not in final for row in record.rows.values())
