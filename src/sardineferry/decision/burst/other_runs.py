"""What an entry knows of the runs that other entries have ordered."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet

    from sardineferry.messages.burst import JobTasks

__all__ = ["KnownOtherRuns", "RelayingEntry", "ReportedTasks", "RunSource"]

# Copies of a request arrive seconds after the end of its job.
ENDED_RETENTION_MS = 20_000


class DoneTasks(NamedTuple):
    """Tasks of a job that are done, and when the first of them was reported."""

    tasks: set[int]
    since_ms: int


class RelayingEntry(NamedTuple):
    """A process of another entry, which relays what agents have reported to it."""

    name: str
    incarnation: str


class RunSource(NamedTuple):
    """Who tells of runs: a process of an agent, itself or through an entry.

    ``ordered_by_relay`` is true for runs that the relaying entry itself has ordered.
    """

    agent: str
    incarnation: str
    relay: RelayingEntry | None = None
    ordered_by_relay: bool = False

    def describe(self) -> str:
        """Return the agent's name, and that of the entry if there is one."""
        return f"{self.agent} via {self.relay.name}" if self.relay else self.agent


class ReportedTasks:
    """Tasks of a job that run for an entry."""

    __slots__ = ("entry", "tasks")

    def __init__(self, entry: str) -> None:
        """Create it without tasks."""
        self.entry = entry
        self.tasks: set[int] = set()


class KnownOtherRuns:
    """The tasks that run for other entries, by source and job, or have ended."""

    def __init__(self) -> None:
        """Know of no runs."""
        self.reported: dict[RunSource, dict[str, ReportedTasks]] = {}
        self.sources_by_job: dict[str, set[RunSource]] = {}
        self.done: OrderedDict[str, DoneTasks] = OrderedDict()
        # Jobs with runs that were lost, and when the last of these was reported.
        self.lost: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, job_id: str) -> bool:
        """Return whether another entry runs tasks of a job."""
        return job_id in self.sources_by_job

    def has_run(self, job_id: str) -> bool:
        """Return whether another entry runs or has run tasks of a job."""
        return job_id in self.sources_by_job or job_id in self.done

    def has_ended_runs(self, job_id: str) -> bool:
        """Return whether runs of a job are known to have ended, at any entry."""
        return job_id in self.done or job_id in self.lost

    def add(self, source: RunSource, item: JobTasks) -> None:
        """Record that tasks of a job run at an agent."""
        jobs = self.reported.setdefault(source, {})
        known = jobs.setdefault(item.job_id, ReportedTasks(item.entry))
        known.entry = item.entry
        known.tasks.update(item.tasks)
        self.sources_by_job.setdefault(item.job_id, set()).add(source)

    def remove(self, source: RunSource, job_id: str, tasks: Iterable[int]) -> None:
        """Record that runs of tasks have ended, if they were known."""
        jobs = self.reported.get(source, {})
        remaining = jobs.get(job_id)
        if remaining is None:
            return
        remaining.tasks.difference_update(tasks)
        if not remaining.tasks:
            del jobs[job_id]
            self.remove_source_of_job(source, job_id)

    def add_done(self, job_id: str, tasks: Iterable[int], now_ms: int) -> None:
        """Record that tasks are done, and forget those of long ago."""
        self.done.setdefault(job_id, DoneTasks(set(), now_ms)).tasks.update(tasks)
        while now_ms - next(iter(self.done.values())).since_ms > ENDED_RETENTION_MS:
            self.done.popitem(last=False)

    def add_lost(self, job_id: str, now_ms: int) -> None:
        """Record that a run of a job was lost, and forget those of long ago."""
        self.lost[job_id] = now_ms
        self.lost.move_to_end(job_id)
        while now_ms - next(iter(self.lost.values())) > ENDED_RETENTION_MS:
            self.lost.popitem(last=False)

    def done_tasks(self, job_id: str) -> AbstractSet[int]:
        """Return the tasks of a job that are done."""
        known = self.done.get(job_id)
        return known.tasks if known is not None else frozenset()

    def forget_source(self, source: RunSource) -> list[str]:
        """Forget all runs that a source has told of; return the jobs that it named."""
        job_ids = list(self.reported.pop(source, {}))
        for job_id in job_ids:
            self.remove_source_of_job(source, job_id)
        return job_ids

    def incarnations(self, agent: str) -> list[RunSource]:
        """Return the processes of an agent that have themselves reported runs."""
        return [
            source
            for source in self.reported
            if source.agent == agent and source.relay is None
        ]

    def relayed_by(self, relay: RelayingEntry) -> list[RunSource]:
        """Return the sources whose reports an entry's process relays."""
        return [source for source in self.reported if source.relay == relay]

    def remove_source_of_job(self, source: RunSource, job_id: str) -> None:
        """Remove a source that tells of no more tasks of a job."""
        sources = self.sources_by_job[job_id]
        sources.discard(source)
        if not sources:
            del self.sources_by_job[job_id]
