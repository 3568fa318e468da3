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
# News that is not urgent is relayed at most this late. With the delay of its report it
# is less than the time before a copy of a first request.
NEWS_DELAY_MS = 200
# Time between two complete lists. They replace what was lost with a relay, and show
# that the entry is alive.
REFRESH_INTERVAL_MS = 500
# News that was sent within this time is sent again if its link is lost. That is noticed
# sooner.
NEWS_RESEND_WINDOW_MS = 2_000
# Later than any time.
NEVER_MS = 2**63
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
        self.done: deque[JobTasks] = deque(maxlen=MAX_WAITING_NEWS)
        self.lost: deque[str] = deque(maxlen=MAX_WAITING_NEWS)
        self.cancelled: deque[str] = deque(maxlen=MAX_WAITING_NEWS)
        # When the next message is due, apart from complete lists.
        self.news_due_ms = NEVER_MS
        self.last_sent_ms = 0
        self.refresh_due_ms = 0
        # The latest news with the times when it was sent: no complete list repeats it.
        self.sent_news: deque[tuple[int, RelayedNews]] = deque(maxlen=MAX_WAITING_NEWS)
        # What other entries have relayed to this one.
        self.heard: dict[RelayingEntry, HeardRelay] = {}

    def note_change(self, now_ms: int, *, is_urgent: bool) -> None:
        """Note that runs have begun or ended, urgently if copies may be about."""
        due_ms = now_ms if is_urgent else now_ms + NEWS_DELAY_MS
        self.news_due_ms = min(self.news_due_ms, due_ms)

    def note_done(self, items: Iterable[JobTasks], now_ms: int) -> None:
        """Note that tasks are done."""
        self.done.extend(items)
        self.note_change(now_ms, is_urgent=False)

    def note_lost(self, job_ids: Iterable[str], now_ms: int) -> None:
        """Note that runs of jobs have ended without being done."""
        self.lost.extend(job_ids)
        self.note_change(now_ms, is_urgent=False)

    def note_cancelled(self, job_id: str, now_ms: int) -> None:
        """Note that a job was cancelled at an entry of another data centre."""
        self.cancelled.append(job_id)
        self.note_change(now_ms, is_urgent=True)

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
        self.note_change(now_ms, is_urgent=True)

    def is_due(self, now_ms: int) -> bool:
        """Return whether a message or a complete list is due."""
        due_ms = min(self.news_due_ms, self.refresh_due_ms)
        return now_ms >= max(due_ms, self.last_sent_ms + RELAY_INTERVAL_MS)

    def next_due_ms(self) -> int:
        """Return when the next message is due, apart from complete lists."""
        if not self.link:
            return NEVER_MS
        return max(self.news_due_ms, self.last_sent_ms + RELAY_INTERVAL_MS)

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
        self.news_due_ms = NEVER_MS
        self.done.clear()
        self.lost.clear()
        self.cancelled.clear()
        if not has_news:
            return None
        if any(news):
            self.sent_news.append((now_ms, news))
        self.sent = running
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
