"""Waiting tasks by team, served by fair share under quotas."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.decision.entry.jobs import TaskEntry

__all__ = ["FairQueue"]


class FairQueue:
    """A queue per team; the team with the least running is served first."""

    def __init__(self) -> None:
        """Start empty."""
        self.teams: dict[str, deque[TaskEntry]] = {}
        self.running: dict[str, int] = {}
        self.waiting = 0

    def push(self, entry: TaskEntry, now_ms: int, front: bool = False) -> None:
        """Add a waiting task, once; one that was refused goes to the front."""
        if entry.queued:
            return
        entry.queued = True
        team = self.teams.setdefault(entry.job.job.team, deque())
        if front:
            team.appendleft(entry)
        else:
            entry.queued_at_ms = now_ms
            team.append(entry)
        self.waiting += 1

    def waiting_of(self, team: str) -> int:
        """Return how many tasks of a team wait."""
        return len(self.teams.get(team, ()))

    def sharers(self, team: str) -> int:
        """Return how many teams would wait if this one did."""
        return len(self.teams) + (team not in self.teams)

    def remove_head(self, team: str) -> None:
        """Drop the first task of a team."""
        self.teams[team].popleft().queued = False
        self.waiting -= 1
        if not self.teams[team]:
            del self.teams[team]

    def order(self) -> Iterator[str]:
        """Yield teams with waiting tasks, least running first."""
        if len(self.teams) == 1:
            return iter(tuple(self.teams))
        return iter(sorted(self.teams, key=lambda team: self.running.get(team, 0)))

    def note_running(self, team: str, units: int) -> None:
        """Add to (or, below zero, take from) a team's running units."""
        total = self.running.get(team, 0) + units
        if total <= 0:
            self.running.pop(team, None)
            return
        self.running[team] = total
