"""What an entry states of its waiting work, and what it knows of other entries'.

Load pattern: a burst beyond capacity that is distributed unevenly over entries. One
that knows only its own queue guesses its share of the workers from its own runs, and
admits jobs that then wait behind those of other entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst.link_selection import rank_entries
from sardineferry.decision.burst.link_selection import select_entries
from sardineferry.messages.burst import PriorityWork

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sardineferry.messages.burst import EntryBacklog
    from sardineferry.messages.burst import EntryEndpoint

__all__ = [
    "BACKLOG_VALID_MS",
    "BacklogStatement",
    "KnownBacklog",
    "OwnStatement",
    "WaitingWork",
    "add_up_work",
    "find_shared_agents",
]

# An entry echoes the timestamp of an idle agent after 400 ms, so a statement that is
# older has been replaced, or its entry or link is gone.
BACKLOG_VALID_MS = 500
# An echo is due about every millisecond with 53 agents. Adding up 200 waiting jobs at
# each of them would take a tenth of a core.
STATEMENT_REFRESH_MS = 20
# The work of jobs has no bound, but a message holds numbers of 64 bits.
MAX_STATED_WORK = 2**63 - 1


class WaitingWork(NamedTuple):
    """The work of one waiting job."""

    priority: int
    work: float


class BacklogStatement(NamedTuple):
    """What waits at another entry, and when it said so, on this entry's clock."""

    stated_ms: int
    waiting: tuple[PriorityWork, ...]


def add_up_work(jobs: Iterable[WaitingWork]) -> tuple[PriorityWork, ...]:
    """Return the waiting work by priority, the most urgent first."""
    sums: dict[int, float] = {}
    for priority, work in jobs:
        if work > 0:
            sums[priority] = sums.get(priority, 0) + work
    return tuple(
        PriorityWork(priority, int(min(sums[priority], MAX_STATED_WORK)))
        for priority in sorted(sums)
    )


def find_shared_agents(
    entries: Iterable[EntryEndpoint], agents: Mapping[str, str]
) -> dict[str, set[str]]:
    """Return which of this entry's agents each entry should be linked to.

    ``agents`` maps the names of the agents that are linked here to data centres. Which
    entries an agent links to follows from the names. Entries without a name are
    left out.
    """
    named = [entry for entry in entries if entry.name]
    shared: dict[str, set[str]] = {entry.name: set() for entry in named}
    for agent, data_centre in agents.items():
        for name in select_entries(rank_entries(agent, named), data_centre, ()):
            shared[name].add(agent)
    return shared


class OwnStatement:
    """What an entry states of its own waiting work, added up anew only now and then."""

    def __init__(self) -> None:
        """Create it empty."""
        self.waiting: tuple[PriorityWork, ...] = ()
        self.computed_ms: int | None = None

    def clear(self) -> tuple[PriorityWork, ...]:
        """State that nothing waits."""
        self.waiting = ()
        self.computed_ms = None
        return self.waiting

    def refresh(
        self, jobs: Iterable[WaitingWork], now_ms: int
    ) -> tuple[PriorityWork, ...]:
        """Return the statement; ``jobs`` is read only if the last one is too old."""
        computed_ms = self.computed_ms
        if computed_ms is None or now_ms - computed_ms >= STATEMENT_REFRESH_MS:
            self.waiting = add_up_work(jobs)
            self.computed_ms = now_ms
        return self.waiting


class KnownBacklog:
    """The newest statement of each other entry, from any agent."""

    def __init__(self) -> None:
        """Create it without statements."""
        self.statements: dict[str, BacklogStatement] = {}
        # Which of this entry's agents other entries are linked to, too; possibly all
        # if an entry isn't listed.
        self.shared_agents: dict[str, set[str]] = {}
        self.agent_count = 0

    def add(self, sent_ms: int, backlogs: Iterable[EntryBacklog]) -> None:
        """Add statements that an agent sent at ``sent_ms``; the newest one counts.

        An empty one says that nothing waits any more.
        """
        for backlog in backlogs:
            stated_ms = sent_ms - backlog.age_ms
            known = self.statements.get(backlog.entry)
            if known is None or stated_ms >= known.stated_ms:
                self.statements[backlog.entry] = BacklogStatement(
                    stated_ms, backlog.waiting
                )

    def expire(self, now_ms: int) -> None:
        """Drop statements that are too old."""
        for entry, statement in list(self.statements.items()):
            if now_ms - statement.stated_ms > BACKLOG_VALID_MS:
                del self.statements[entry]

    def is_known(self, now_ms: int) -> bool:
        """Return whether a valid statement says that work waits at another entry."""
        return any(
            statement.waiting and now_ms - statement.stated_ms <= BACKLOG_VALID_MS
            for statement in self.statements.values()
        )

    def work_by_priority(
        self, now_ms: int, *, only_shared: bool = False
    ) -> dict[int, float]:
        """Return the work that waits elsewhere.

        If ``only_shared``, an entry's work counts by the part of this entry's agents
        that it is linked to, too.
        """
        sums: dict[int, float] = {}
        for entry, statement in self.statements.items():
            if now_ms - statement.stated_ms > BACKLOG_VALID_MS:
                continue
            part = self.shared_part(entry) if only_shared else 1.0
            for priority, work in statement.waiting:
                sums[priority] = sums.get(priority, 0.0) + part * work
        return sums

    def shared_part(self, entry: str) -> float:
        """Return which part of this entry's agents another one is linked to."""
        agents = self.shared_agents.get(entry)
        if agents is None or not self.agent_count:
            return 1.0
        return len(agents) / self.agent_count

    def shares(self, entry: str, agent: str) -> bool:
        """Return whether another entry may be linked to an agent."""
        agents = self.shared_agents.get(entry)
        return agents is None or agent in agents

    def entries_with_work(self, priority: int, now_ms: int) -> list[str]:
        """Return the entries where more urgent work than of that priority waits."""
        return [
            entry
            for entry, statement in self.statements.items()
            if now_ms - statement.stated_ms <= BACKLOG_VALID_MS
            and any(item.priority < priority for item in statement.waiting)
        ]

    def work_ahead(self, priority: int, now_ms: int) -> float:
        """Return the work elsewhere of that priority or a more urgent one."""
        return sum(
            work
            for known_priority, work in self.work_by_priority(now_ms).items()
            if known_priority <= priority
        )

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the oldest valid statement; None if none is known."""
        ages = [
            now_ms - statement.stated_ms
            for statement in self.statements.values()
            if statement.waiting
        ]
        return max((age for age in ages if age <= BACKLOG_VALID_MS), default=None)
