"""What an entry knows of the runs that other entries have ordered."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["KnownOtherRuns", "ReportingAgent"]

# Copies of a request arrive seconds after the end of its job.
DONE_RETENTION_MS = 20_000


class DoneTasks(NamedTuple):
    """Tasks of a job that are done, and when the first of them was reported."""

    tasks: set[int]
    since_ms: int


class ReportingAgent(NamedTuple):
    """A process of an agent, which has reported runs."""

    name: str
    incarnation: str


class KnownOtherRuns:
    """The tasks that run for other entries, by reporting agent and job, or are done."""

    def __init__(self) -> None:
        """Know of no runs."""
        self.tasks: dict[ReportingAgent, dict[str, set[int]]] = {}
        self.agents_by_job: dict[str, set[ReportingAgent]] = {}
        self.done: OrderedDict[str, DoneTasks] = OrderedDict()

    def __contains__(self, job_id: str) -> bool:
        """Return whether another entry runs tasks of a job."""
        return job_id in self.agents_by_job

    def has_run(self, job_id: str) -> bool:
        """Return whether another entry runs or has run tasks of a job."""
        return job_id in self.agents_by_job or job_id in self.done

    def add(self, agent: ReportingAgent, job_id: str, tasks: Iterable[int]) -> None:
        """Record that tasks of a job run at an agent."""
        self.tasks.setdefault(agent, {}).setdefault(job_id, set()).update(tasks)
        self.agents_by_job.setdefault(job_id, set()).add(agent)

    def remove(self, agent: ReportingAgent, job_id: str, tasks: Iterable[int]) -> None:
        """Record that runs of tasks have ended, if they were known."""
        jobs = self.tasks.get(agent, {})
        remaining = jobs.get(job_id)
        if remaining is None:
            return
        remaining.difference_update(tasks)
        if not remaining:
            del jobs[job_id]
            self.remove_agent_of_job(agent, job_id)

    def add_done(self, job_id: str, tasks: Iterable[int], now_ms: int) -> None:
        """Record that tasks are done, and forget those of long ago."""
        self.done.setdefault(job_id, DoneTasks(set(), now_ms)).tasks.update(tasks)
        while now_ms - next(iter(self.done.values())).since_ms > DONE_RETENTION_MS:
            self.done.popitem(last=False)

    def done_tasks(self, job_id: str) -> Iterable[int]:
        """Return the tasks of a job that are done."""
        known = self.done.get(job_id)
        return known.tasks if known is not None else ()

    def forget_agent(self, agent: ReportingAgent) -> list[str]:
        """Forget all that an agent has reported; return the jobs that it named."""
        job_ids = list(self.tasks.pop(agent, {}))
        for job_id in job_ids:
            self.remove_agent_of_job(agent, job_id)
        return job_ids

    def incarnations(self, name: str) -> list[ReportingAgent]:
        """Return the processes of an agent that have reported runs."""
        return [agent for agent in self.tasks if agent.name == name]

    def remove_agent_of_job(self, agent: ReportingAgent, job_id: str) -> None:
        """Remove an agent that runs no more tasks of a job."""
        agents = self.agents_by_job[job_id]
        agents.discard(agent)
        if not agents:
            del self.agents_by_job[job_id]
