"""Waiting tasks by team, served by fair share under quotas."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.decision.entry.jobs import TrackedTask

__all__ = ["FairQueue"]


class FairQueue:
    """A queue per team; the team with the least running is served first."""

    def __init__(self) -> None:
        """Start empty."""
        self.tasks_by_team: dict[str, deque[TrackedTask]] = {}
        self.running_by_team: dict[str, int] = {}
        self.waiting = 0

    def push(self, task: TrackedTask, now_ms: int, front: bool = False) -> None:
        """Add a waiting task, once; one that was refused goes to the front."""
        if task.queued:
            return
        task.queued = True
        team = self.tasks_by_team.setdefault(task.job.spec.team, deque())
        if front:
            team.appendleft(task)
        else:
            task.queued_at_ms = now_ms
            team.append(task)
        self.waiting += 1

    def count_waiting(self, team: str) -> int:
        """Return how many tasks of a team wait."""
        return len(self.tasks_by_team.get(team, ()))

    def count_sharing_teams(self, team: str) -> int:
        """Return how many teams would wait if this one did."""
        return len(self.tasks_by_team) + (team not in self.tasks_by_team)

    def remove_head(self, team: str) -> None:
        """Drop the first task of a team."""
        self.tasks_by_team[team].popleft().queued = False
        self.waiting -= 1
        if not self.tasks_by_team[team]:
            del self.tasks_by_team[team]

    def teams_to_serve(self) -> Iterator[str]:
        """Yield teams with waiting tasks, least running first."""
        if len(self.tasks_by_team) == 1:
            return iter(tuple(self.tasks_by_team))
        return iter(
            sorted(
                self.tasks_by_team, key=lambda team: self.running_by_team.get(team, 0)
            )
        )

    def add_running(self, team: str, units: int) -> None:
        """Add to (or, below zero, take from) a team's running units."""
        total = self.running_by_team.get(team, 0) + units
        if total <= 0:
            self.running_by_team.pop(team, None)
            return
        self.running_by_team[team] = total
