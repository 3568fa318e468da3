"""The start table: what was started here, so that nothing starts twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.charts import load_chart

if TYPE_CHECKING:
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.job import Task
    from sardineferry.messages.job import TaskResult

__all__ = ["Row", "StartTable", "SubmissionRows"]


class Row:
    """The record of one task: its latest attempt, state and result.

    ``units`` is the capacity it takes, ``deadline_ms`` is on the agent's
    clock, ``reply_to`` is the entry that gets the answer.
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
        """Record an attempt that was received."""
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
        """Move along the chart."""
        self.state = load_chart("start").advance(self.state, event)


class SubmissionRows:
    """Rows of one submission, the highest epoch seen and the expiry."""

    __slots__ = ("epoch", "expires_at_ms", "rows")

    def __init__(self) -> None:
        """Start without rows."""
        self.epoch = 0
        self.expires_at_ms = 0
        self.rows: dict[str, Row] = {}


class StartTable:
    """Rows by submission and task, bounded in number, purged by age."""

    def __init__(self, limit: int) -> None:
        """Hold at most ``limit`` rows."""
        self.limit = limit
        self.count = 0
        self.submissions: dict[str, SubmissionRows] = {}

    def find(self, submission: str, task: str) -> Row | None:
        """Return the row of a task."""
        held = self.submissions.get(submission)
        return held.rows.get(task) if held else None

    def open(self, submission: str, expires_at_ms: int) -> SubmissionRows:
        """Return the rows of a submission, kept at least until the expiry."""
        held = self.submissions.get(submission)
        if held is None:
            held = self.submissions[submission] = SubmissionRows()
        held.expires_at_ms = max(held.expires_at_ms, expires_at_ms)
        return held

    def put(self, held: SubmissionRows, row: Row) -> None:
        """Store a row in place of an earlier one of the same task."""
        if row.attempt.task not in held.rows:
            self.count += 1
        held.rows[row.attempt.task] = row

    def is_full(self) -> bool:
        """Tell whether no further row can be stored."""
        return self.count >= self.limit

    def purge(self, now_ms: int) -> None:
        """Forget submissions past their expiry in which nothing is open."""
        expired = [
            submission
            for submission, held in self.submissions.items()
            if held.expires_at_ms <= now_ms and not has_open_rows(held)
        ]
        for submission in expired:
            self.count -= len(self.submissions.pop(submission).rows)


def has_open_rows(held: SubmissionRows) -> bool:
    """Tell whether a row is queued or running."""
    final = load_chart("start").final
    return any(row.state not in final for row in held.rows.values())
