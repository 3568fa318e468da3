"""Queues of waiting tasks, one for each team, served by fair share."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.decision.entry.jobs import TrackedTask

__all__ = ["FairQueue"]


class FairQueue:
    """One queue per team; the team with the fewest running attempts is served first.

    ``running_by_team`` counts each attempt as one, whatever its task's size.
    """

    def __init__(self) -> None:
        """Create empty queues."""
        self.tasks_by_team: dict[str, deque[TrackedTask]] = {}
        self.running_by_team: dict[str, int] = {}
        self.waiting = 0

    def push(self, task: TrackedTask, now_ms: int, front: bool = False) -> None:
        """Queue a task unless it is queued already.

        ``front`` is for tasks that waited before and return from an attempt.
        """
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
        """Return the number of waiting tasks of a team."""
        return len(self.tasks_by_team.get(team, ()))

    def count_sharing_teams(self, team: str) -> int:
        """Return how many teams have waiting tasks, counting this one in any case."""
        return len(self.tasks_by_team) + (team not in self.tasks_by_team)

    def remove_head(self, team: str) -> None:
        """Remove the first task of a team's queue."""
        self.tasks_by_team[team].popleft().queued = False
        self.waiting -= 1
        if not self.tasks_by_team[team]:
            del self.tasks_by_team[team]

    def teams_to_serve(self) -> Iterator[str]:
        """Return teams with waiting tasks, fewest running attempts first."""
        if len(self.tasks_by_team) == 1:
            return iter(tuple(self.tasks_by_team))
        return iter(
            sorted(
                self.tasks_by_team, key=lambda team: self.running_by_team.get(team, 0)
            )
        )

    def add_running(self, team: str, change: int) -> None:
        """Change a team's number of running attempts; at zero it is removed."""
        total = self.running_by_team.get(team, 0) + change
        if total <= 0:
            self.running_by_team.pop(team, None)
            return
        self.running_by_team[team] = total
