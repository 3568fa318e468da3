"""What an entry relays to the other entries of its data centre, and what it has heard.

An agent reports to all entries of its own data centre, but to one entry of each other
data centre. That one relays the reports, and what it has itself ordered at such an
agent, over an agent of its own data centre, which is linked to all entries there.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.messages.burst import AgentRuns
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import RelayedRuns

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.other_runs import RelayingEntry

__all__ = ["HeardRelay", "RelayedJob", "RunRelay", "RunSnapshot"]

# Least time between two messages: many runs begin and end in that time.
RELAY_INTERVAL_MS = 10
# Ends of runs that were not relayed before are relayed at most this late. With the
# delay of their report it is less than the time before a copy.
END_DELAY_MS = 200
# Time between two complete lists. They replace what was lost with a relay, and show
# that the entry is alive.
REFRESH_INTERVAL_MS = 500
# News that was sent within this time is sent again if its link is lost. That is noticed
# sooner.
NEWS_RESEND_WINDOW_MS = 2_000
# Bounds the memory while no agent of the data centre is linked.
MAX_WAITING_NEWS = 1_024


class RelayedJob(NamedTuple):
    """A job that runs at one process of an agent, ordered by one entry."""

    agent: str
    incarnation: str
    job_id: str
    entry: str


# The tasks that run of each job.
RunSnapshot = dict[RelayedJob, frozenset[int]]


class HeardRelay(NamedTuple):
    """The newest message of a relaying entry, and when it was sent, on this clock."""

    sequence: int
    sent_ms: int


class RelayedNews(NamedTuple):
    """What is told once: tasks that are done, jobs with lost runs, cancelled jobs."""

    done: tuple[JobTasks, ...]
    lost: tuple[str, ...]
    cancelled: tuple[str, ...]


class RunRelay:
    """What an entry has relayed and has yet to relay."""

    def __init__(self) -> None:
        """Start without news."""
        # The agent that passes messages on; empty if there is none.
        self.link = ""
        self.sequence = 0
        self.sent: RunSnapshot = {}
        self.sent_job_ids: set[str] = set()
        # Whether runs have begun or ended since the last message.
        self.is_changed = False
        self.done: deque[JobTasks] = deque(maxlen=MAX_WAITING_NEWS)
        self.lost: deque[str] = deque(maxlen=MAX_WAITING_NEWS)
        self.cancelled: deque[str] = deque(maxlen=MAX_WAITING_NEWS)
        # When the oldest of the ends is due; None if there are none.
        self.ends_due_ms: int | None = None
        self.last_sent_ms = 0
        self.refresh_due_ms = 0
        # The latest news with the times when it was sent: no complete list repeats it.
        self.sent_news: deque[tuple[int, RelayedNews]] = deque(maxlen=MAX_WAITING_NEWS)
        # What other entries have relayed to this one.
        self.heard: dict[RelayingEntry, HeardRelay] = {}

    def note_change(self) -> None:
        """Note that runs have begun or ended."""
        self.is_changed = True

    def note_done(self, items: Iterable[JobTasks], now_ms: int) -> None:
        """Note that tasks are done."""
        for item in items:
            self.done.append(item)
            self.schedule_end(item.job_id, now_ms)

    def note_lost(self, job_ids: Iterable[str], now_ms: int) -> None:
        """Note that runs of jobs have ended without being done."""
        for job_id in job_ids:
            self.lost.append(job_id)
            self.schedule_end(job_id, now_ms)

    def schedule_end(self, job_id: str, now_ms: int) -> None:
        """Let an end be relayed soon, or at once if the job's runs were relayed."""
        if job_id in self.sent_job_ids:
            self.is_changed = True
        if self.ends_due_ms is None:
            self.ends_due_ms = now_ms + END_DELAY_MS

    def note_cancelled(self, job_id: str) -> None:
        """Note that a job was cancelled at an entry of another data centre."""
        self.cancelled.append(job_id)
        self.is_changed = True

    def use_link(self, link: str) -> None:
        """Use this agent from now on; a new one gets a complete list first."""
        if link != self.link:
            self.link = link
            self.refresh_due_ms = 0

    def lose_link(self, link: str, now_ms: int) -> None:
        """Send again what may have been lost with the link to this agent."""
        if link != self.link:
            return
        self.link = ""
        for sent_ms, news in self.sent_news:
            if now_ms - sent_ms <= NEWS_RESEND_WINDOW_MS:
                self.note_done(news.done, now_ms)
                self.note_lost(news.lost, now_ms)
                self.cancelled.extend(news.cancelled)
        self.sent_news.clear()
        self.is_changed = True

    def is_due(self, now_ms: int) -> bool:
        """Return whether a message or a complete list is due."""
        are_ends_due = self.ends_due_ms is not None and now_ms >= self.ends_due_ms
        return now_ms >= self.last_sent_ms + RELAY_INTERVAL_MS and (
            self.is_changed or are_ends_due or now_ms >= self.refresh_due_ms
        )

    def next_due_ms(self, now_ms: int) -> int | None:
        """Return when the next news is due; None if there is none."""
        if not self.link:
            return None
        if self.is_changed:
            return max(now_ms, self.last_sent_ms + RELAY_INTERVAL_MS)
        return self.ends_due_ms

    def take_message(
        self, entry: RelayingEntry, running: RunSnapshot, now_ms: int
    ) -> RelayedRuns | None:
        """Return what has changed, or all at intervals; None if there is no news."""
        is_complete = now_ms >= self.refresh_due_ms
        if is_complete:
            self.refresh_due_ms = now_ms + REFRESH_INTERVAL_MS
        began, ended = compare(self.sent, running)
        lost = tuple(dict.fromkeys(self.lost))
        news = RelayedNews(tuple(self.done), lost, tuple(self.cancelled))
        has_news = began or ended or any(news) or (is_complete and running)
        self.is_changed = False
        self.ends_due_ms = None
        self.done.clear()
        self.lost.clear()
        self.cancelled.clear()
        if not has_news:
            return None
        if any(news):
            self.sent_news.append((now_ms, news))
        self.sent = running
        self.sent_job_ids = {job.job_id for job in running}
        self.sequence += 1
        self.last_sent_ms = now_ms
        return RelayedRuns(
            entry.name,
            entry.incarnation,
            self.sequence,
            group_by_agent(running if is_complete else began),
            () if is_complete else group_by_agent(ended),
            *news,
            is_complete=is_complete,
        )


def compare(before: RunSnapshot, now: RunSnapshot) -> tuple[RunSnapshot, RunSnapshot]:
    """Return the tasks that run only now, and those that ran only before."""
    began = {job: tasks - before.get(job, frozenset()) for job, tasks in now.items()}
    ended = {job: tasks - now.get(job, frozenset()) for job, tasks in before.items()}
    return (
        {job: tasks for job, tasks in began.items() if tasks},
        {job: tasks for job, tasks in ended.items() if tasks},
    )


def group_by_agent(runs: RunSnapshot) -> tuple[AgentRuns, ...]:
    """Return runs by the process of their agent."""
    jobs: dict[tuple[str, str], list[JobTasks]] = {}
    for job, tasks in runs.items():
        item = JobTasks(job.job_id, job.entry, tuple(sorted(tasks)))
        jobs.setdefault((job.agent, job.incarnation), []).append(item)
    return tuple(AgentRuns(*agent, tuple(items)) for agent, items in jobs.items())
