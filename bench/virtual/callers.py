"""Callers that resubmit a job they believe lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.messages.job import Job
from sardineferry.messages.job import Task

if TYPE_CHECKING:
    from bench.virtual.history import Answered
    from bench.virtual.simulation import Simulation

__all__ = ["Callers", "make_mixed_job"]

RESUBMIT_MS = 150.0
SUBMISSION_LIMIT = 4
RETRIED_STATES = ("not_run", "unknown")


def make_mixed_job(
    submission: str, tasks: int, budget_ms: int, run_ms: int = 100
) -> Job:
    """Return a job whose even tasks are not idempotent."""
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
    """Submits jobs, and again to another entry when told to or cut off."""

    def __init__(self, world: Simulation) -> None:
        """Watch the answers of a world."""
        self.world = world
        self.tries: dict[str, int] = {}
        self.open: dict[int, tuple[str, Job]] = {}
        world.on_answer = self.note_answer

    def submit(self, entry: str, job: Job) -> None:
        """Submit, and watch the connection."""
        self.tries[job.submission] = self.tries.get(job.submission, 0) + 1
        # The token is known before the answer can come.
        token = self.world.tokens + 1
        self.open[token] = (entry, job)
        self.world.submit(entry, job)
        self.watch(token)

    def watch(self, token: int) -> None:
        """Resubmit once the connection is seen to be broken."""
        if token not in self.open:
            return
        if token in self.world.history.broken_tokens:
            self.resubmit(*self.open.pop(token))
            return
        self.world.schedule.after_ms(20.0, lambda: self.watch(token))

    def note_answer(self, answered: Answered) -> None:
        """Resubmit what was not run, or is not known but may be."""
        found = self.open.pop(answered.token, None)
        if found is None:
            return
        answer = answered.answer
        if answer.state in RETRIED_STATES and answer.retry_after_ms > 0:
            self.resubmit(*found)

    def resubmit(self, entry: str, job: Job) -> None:
        """Submit the same key to the next entry, a few times at most."""
        if self.tries[job.submission] >= SUBMISSION_LIMIT:
            return
        entries = self.world.entries
        following = entries[(entries.index(entry) + 1) % len(entries)]
        again = job._replace(resubmission=True)
        self.world.schedule.after_ms(RESUBMIT_MS, lambda: self.submit(following, again))
