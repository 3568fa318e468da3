"""Reads the logs of many processes for losses and for overlapping runs of one task.

The logs are read twice, line by line: only jobs that were late, refused or not
answered are kept, and the second pass collects their runs from the agents' logs,
and the runs of tasks that ran several times. If runs overlapped, a third pass finds
the orders of these runs and what the first agent logged about its run.
"""

from __future__ import annotations

import statistics
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.explain.causes import Cause
from sardineferry.explain.causes import JobHistory
from sardineferry.explain.causes import find_cause
from sardineferry.explain.causes import find_refusal_cause
from sardineferry.explain.evidence import EvidenceReader
from sardineferry.explain.lines import JobAdmitted
from sardineferry.explain.lines import JobEnded
from sardineferry.explain.lines import JobRefused
from sardineferry.explain.lines import LineCounts
from sardineferry.explain.lines import ProcessStarted
from sardineferry.explain.lines import RunEnded
from sardineferry.explain.lines import RunsOrdered
from sardineferry.explain.lines import decode_lines
from sardineferry.explain.overlaps import Overlap
from sardineferry.explain.overlaps import RepeatedRuns
from sardineferry.explain.overlaps import TaskCounter

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from sardineferry.explain.lines import JobLine

__all__ = ["Loss", "Report", "explain_logs", "name_logs"]

# Free capacity below this is not enough for a usual task, in thousandths of a core.
MIN_TASK_CPU = 1_000
# Every this many orders, the slowdown of one is kept to find the usual one.
SLOWDOWN_SAMPLE_INTERVAL = 16


class Loss(NamedTuple):
    """A job that was late, refused or not answered.

    ``route`` is empty for a job that was refused at once. ``over_ms`` is the time
    by which it was late, or 0 if it was not completed.
    """

    at: str
    job: str
    route: str
    cause: Cause
    over_ms: int


class Report(NamedTuple):
    """All losses in the order of time, overlapping runs, and how much was read.

    ``runs_compared`` is the number of runs whose start is known,
    ``runs_not_compared`` that of runs that started at an unknown time.
    """

    losses: tuple[Loss, ...]
    jobs_ended: int
    overlaps: tuple[Overlap, ...]
    runs_compared: int
    runs_not_compared: int
    counts: LineCounts

    def by_cause(self) -> list[tuple[Cause, str, int, int]]:
        """Return rows of cause, route, count and total lateness, largest first."""
        counts: Counter[tuple[Cause, str]] = Counter()
        over_ms: Counter[tuple[Cause, str]] = Counter()
        for loss in self.losses:
            counts[loss.cause, loss.route] += 1
            over_ms[loss.cause, loss.route] += loss.over_ms
        return [(*key, count, over_ms[key]) for key, count in counts.most_common()]

    def by_second(self) -> list[tuple[str, Cause, int]]:
        """Return rows of second, cause and count, in the order of time."""
        counts = Counter((loss.at[:19], loss.cause) for loss in self.losses)
        return sorted(
            ((at, cause, count) for (at, cause), count in counts.items()),
            key=lambda row: (row[0], row[1].value),
        )


class EntryLogReader:
    """Collects the losses from the log of one process."""

    def __init__(self) -> None:
        """Start without jobs."""
        self.active: dict[str, tuple[JobAdmitted, JobHistory]] = {}
        self.ended: list[tuple[JobEnded, JobHistory]] = []
        self.losses: list[Loss] = []
        self.slowdowns: list[float] = []
        self.jobs_ended = 0
        self.orders = 0

    def read(self, line: JobLine) -> None:
        """Apply one line."""
        match line:
            case JobAdmitted():
                self.active[line.job] = (line, JobHistory(line.estimate_ms))
            case RunsOrdered():
                self.add_order(line)
            case JobEnded():
                self.end_job(line)
            case JobRefused():
                cause = find_refusal_cause(line, MIN_TASK_CPU)
                self.losses.append(Loss(line.at, line.job, "", cause, 0))
            case ProcessStarted():
                self.lose_active()

    def add_order(self, line: RunsOrdered) -> None:
        """Add an order to its job."""
        active = self.active.get(line.job)
        if active is not None:
            active[1].orders.append(line)
        self.orders += 1
        if self.orders % SLOWDOWN_SAMPLE_INTERVAL == 1:
            self.slowdowns.append(line.speed)

    def end_job(self, line: JobEnded) -> None:
        """Keep a job that was late or not completed."""
        self.jobs_ended += 1
        _, history = self.active.pop(line.job, (None, JobHistory(0)))
        if line.outcome != "completed" or line.took_ms > line.goal_ms:
            self.ended.append((line, history))

    def lose_active(self) -> None:
        """Count the jobs that the process had when it restarted as lost."""
        for admitted, _ in self.active.values():
            self.losses.append(
                Loss(admitted.at, admitted.job, admitted.route, Cause.RESTART, 0)
            )
        self.active.clear()


def name_logs(paths: Iterable[Path]) -> dict[Path, str]:
    """Return a name for each log: that of its file without the suffix.

    Logs of equal names in several directories are named by their whole paths.
    """
    unique_paths = dict.fromkeys(paths)
    counts = Counter(path.stem for path in unique_paths)
    return {
        path: path.stem if counts[path.stem] == 1 else str(path)
        for path in unique_paths
    }


def explain_logs(paths: Iterable[Path]) -> Report:
    """Return what the logs of processes, one file each, tell about jobs and runs.

    A file that is given twice is read once.

    Raises:
        OSError: A file can't be read.

    """
    names = name_logs(paths)
    counts = LineCounts()
    tasks = TaskCounter()
    readers = []
    for path in names:
        reader = EntryLogReader()
        readers.append(reader)
        with path.open("rb") as file:
            for line in decode_lines(file, counts):
                if isinstance(line, RunEnded):
                    tasks.read(line)
                else:
                    reader.read(line)
    ended = [item for reader in readers for item in reader.ended]
    repeated = RepeatedRuns(tasks.repeated_hashes())
    collect_runs(names, ended, repeated)
    slowdowns = [value for reader in readers for value in reader.slowdowns]
    usual_slowdown = statistics.median(slowdowns) if slowdowns else 1.0
    losses = [loss for reader in readers for loss in reader.losses]
    for line, history in ended:
        cause = find_cause(line, history, usual_slowdown)
        if cause is not None:
            is_late = line.outcome == "completed"
            over_ms = line.took_ms - line.goal_ms if is_late else 0
            losses.append(Loss(line.at, line.job, line.route, cause, over_ms))
    jobs_ended = sum(reader.jobs_ended for reader in readers)
    return Report(
        tuple(sorted(losses, key=lambda loss: (loss.at, loss.job))),
        jobs_ended,
        find_evidence(names, repeated.overlaps()),
        len(tasks.hashes),
        tasks.unknown_starts,
        counts,
    )


def collect_runs(
    names: Mapping[Path, str],
    ended: Iterable[tuple[JobEnded, JobHistory]],
    repeated: RepeatedRuns,
) -> None:
    """Add the runs of these jobs and of repeated tasks from the logs of agents.

    A job that was submitted again may have ended at several entries.
    """
    histories: dict[str, list[JobHistory]] = {}
    for ended_line, history in ended:
        histories.setdefault(ended_line.job, []).append(history)
    if not histories and not repeated.task_hashes:
        return
    for path, name in names.items():
        with path.open("rb") as file:
            for line in decode_lines(file, LineCounts()):
                if isinstance(line, RunEnded):
                    repeated.read(line, name)
                    for history in histories.get(line.job, ()):
                        history.runs.append(line)


def find_evidence(
    names: Mapping[Path, str], overlaps: Sequence[Overlap]
) -> tuple[Overlap, ...]:
    """Return the pairs with what the logs tell about their orders."""
    if not overlaps:
        return ()
    reader = EvidenceReader(overlaps)
    for path, name in names.items():
        with path.open("rb") as file:
            reader.read(file, name)
    return tuple(
        overlap._replace(evidence=evidence)
        for overlap, evidence in zip(overlaps, reader.evidence(), strict=True)
    )
