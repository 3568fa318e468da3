"""Finds runs of one task that overlapped, by the agents' lines on their ends."""

from __future__ import annotations

from array import array
from itertools import combinations
from itertools import pairwise
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.explain.evidence import OverlapEvidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.explain.lines import RunEnded

__all__ = ["ComparedRun", "Overlap", "RepeatedRuns", "TaskCounter"]

# A run that ended in one of these ways did start, even if the agent got no answer to
# its start request and so logs a run time of 0.
STARTED_ENDS = ("done", "failed")


class ComparedRun(NamedTuple):
    """A run of a task, from ``start_ms`` until ``end_ms`` of Unix time.

    ``log`` stands for the agent, which the line does not name.
    """

    start_ms: int
    end_ms: int
    log: str
    entry: str
    attempt: int
    how: str
    reason: str


class Overlap(NamedTuple):
    """Two runs of one task, ``first`` started earlier, and their common time.

    ``evidence`` is what logs tell about why the second one was ordered.
    """

    overlap_ms: int
    task: str
    first: ComparedRun
    second: ComparedRun
    evidence: OverlapEvidence = OverlapEvidence()


class TaskCounter:
    """Finds the tasks that ran several times; keeps 8 bytes for each run."""

    def __init__(self) -> None:
        """Start without runs."""
        self.hashes = array("q")
        # Runs that started at an unknown time.
        self.unknown_starts = 0

    def read(self, line: RunEnded) -> None:
        """Count a run, unless it did not start."""
        if line.run_ms > 0:
            self.hashes.append(hash(line.task))
        elif line.how in STARTED_ENDS:
            self.unknown_starts += 1

    def repeated_hashes(self) -> set[int]:
        """Return the hashes of all tasks that ran several times.

        A few other tasks may have the same hashes.
        """
        return {
            first for first, second in pairwise(sorted(self.hashes)) if first == second
        }


class RepeatedRuns:
    """Collects the runs of tasks that ran several times."""

    def __init__(self, task_hashes: Iterable[int]) -> None:
        """Create it for the tasks with these hashes."""
        self.task_hashes = frozenset(task_hashes)
        self.runs_by_task: dict[str, list[ComparedRun]] = {}

    def read(self, line: RunEnded, log: str) -> None:
        """Keep a run if its task ran several times."""
        if line.run_ms <= 0 or hash(line.task) not in self.task_hashes:
            return
        end_ms = line.end_ms
        run = ComparedRun(
            end_ms - line.run_ms,
            end_ms,
            log,
            line.entry,
            line.attempt,
            line.how,
            line.reason,
        )
        self.runs_by_task.setdefault(line.task, []).append(run)

    def overlaps(self) -> list[Overlap]:
        """Return all pairs of runs that overlapped, the longest overlap first."""
        found = []
        for task, runs in self.runs_by_task.items():
            for first, second in combinations(sorted(runs), 2):
                overlap_ms = min(first.end_ms, second.end_ms) - second.start_ms
                if overlap_ms > 0:
                    found.append(Overlap(overlap_ms, task, first, second))
        return sorted(found, key=lambda item: (-item.overlap_ms, item[1:]))
