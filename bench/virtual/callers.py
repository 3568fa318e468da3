"""Simulated callers that resubmit a job when its connection or answer is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.messages.job import Job
from sardineferry.messages.job import Task

if TYPE_CHECKING:
    from bench.virtual.history import Answered
    from bench.virtual.simulation import Simulation

__all__ = ["Callers", "make_mixed_job"]

RESUBMIT_DELAY_MS = 150.0
MAX_SUBMISSIONS_PER_JOB = 4
RESUBMITTED_STATES = ("not_run", "unknown")


def make_mixed_job(
    submission: str, tasks: int, budget_ms: int, run_ms: int = 100
) -> Job:
    """Return a job in which every second task, from the first on, isn't idempotent."""
    return Job(
        submission,
        "team",
        budget_ms,
        tuple(
            Task(
                f"t{index}",
                "hold" if index % 2 == 0 else "quote",
                index % 2 != 0,
                "",
                run_ms=run_ms + 20 * (index % 3),
            )
            for index in range(tasks)
        ),
        resubmission=False,
    )


class Callers:
    """Submits jobs, and resubmits them to another entry.

    A job is resubmitted if its connection breaks or its answer invites a retry.
    """

    def __init__(self, simulation: Simulation) -> None:
        """Subscribe to the answers of a simulation."""
        self.simulation = simulation
        self.submission_counts: dict[str, int] = {}
        self.open_requests: dict[int, tuple[str, Job]] = {}
        simulation.on_answer = self.handle_answer

    def submit(self, entry: str, job: Job) -> None:
        """Submit a job and watch its connection."""
        self.submission_counts[job.submission] = (
            self.submission_counts.get(job.submission, 0) + 1
        )
        # The answer may arrive during the call below, so the request is
        # registered first, under the token that it will get.
        token = self.simulation.last_token + 1
        self.open_requests[token] = (entry, job)
        self.simulation.submit(entry, job)
        self.watch_connection(token)

    def watch_connection(self, token: int) -> None:
        """Check every 20 ms for a broken connection, and resubmit if it is."""
        if token not in self.open_requests:
            return
        if token in self.simulation.history.broken_tokens:
            self.resubmit(*self.open_requests.pop(token))
            return
        self.simulation.schedule.after_ms(20.0, lambda: self.watch_connection(token))

    def handle_answer(self, answered: Answered) -> None:
        """Resubmit the job if its answer invites a retry."""
        found = self.open_requests.pop(answered.token, None)
        if found is None:
            return
        answer = answered.answer
        if answer.state in RESUBMITTED_STATES and answer.retry_after_ms > 0:
            self.resubmit(*found)

    def resubmit(self, entry: str, job: Job) -> None:
        """Submit the same key to the next entry, unless the limit is reached."""
        if self.submission_counts[job.submission] >= MAX_SUBMISSIONS_PER_JOB:
            return
        entries = self.simulation.entries
        next_entry = entries[(entries.index(entry) + 1) % len(entries)]
        resubmitted = job._replace(resubmission=True)
        self.simulation.schedule.after_ms(
            RESUBMIT_DELAY_MS, lambda: self.submit(next_entry, resubmitted)
        )
