"""Leaves free capacity to more urgent work that waits at other entries.

Load pattern: a burst of urgent jobs at one entry while less urgent jobs wait at others.
All entries race for each piece of capacity, and one that knows only its own queue gives
it to its own most urgent job.

An entry does not order by the capacity that others' more urgent work needs, at workers
that those entries are linked to, the fastest first. It leaves free capacity of a worker
for a bounded time. If nobody has taken any of it by then, it leaves none at that worker
for a while: the work may need a label or wait for another worker.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.moving_average import MovingAverage
from sardineferry.messages.burst import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import AgentView
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["LeftCapacity", "TaskDurations", "leave_capacity"]

# An entry whose jobs wait hears of free capacity within 15 ms if five do, and its
# order takes 2 ms. In replays 40 ms left capacity in vain twice as often, as statements
# are up to 100 ms old, and 80 ms served urgent jobs no better.
LEAVE_MS = 60
# No capacity of a worker is left for this long if none was taken in that time. Work
# that never comes then costs at most 60 of each 460 ms.
PAUSE_MS = 400
# The time starts anew if nothing had to be left at the worker for this long.
FORGET_MS = 200
# Expected work of a task of a priority of which this entry has had no job.
UNKNOWN_TASK_MS = 200


class FreeCapacity(NamedTuple):
    """Free processors that are left, since when, and when that was last found so."""

    cpu: int
    since_ms: int
    found_ms: int


class LeftCapacity:
    """How long free capacity has been left at each worker, by the agent's name."""

    def __init__(self) -> None:
        """Create it without capacity that is left."""
        self.free: dict[str, FreeCapacity] = {}
        self.paused_until_ms: dict[str, int] = {}
        # How often capacity was left in vain.
        self.unused = 0

    def may_leave(self, agent: str, cpu: int, needed_cpu: int, now_ms: int) -> bool:
        """Return whether to leave free processors, if a task that needs some may fit.

        Processors that somebody has taken show that the others make use of it.
        """
        if cpu < needed_cpu:
            self.free.pop(agent, None)
            return False
        if now_ms < self.paused_until_ms.get(agent, 0):
            return False
        last = self.free.get(agent)
        if last is None or cpu < last.cpu or now_ms - last.found_ms > FORGET_MS:
            self.free[agent] = FreeCapacity(cpu, now_ms, now_ms)
            return True
        if now_ms - last.since_ms < LEAVE_MS:
            self.free[agent] = FreeCapacity(cpu, last.since_ms, now_ms)
            return True
        del self.free[agent]
        self.paused_until_ms[agent] = now_ms + PAUSE_MS
        self.unused += 1
        return False


class TaskDurations:
    """The mean expected work of a task by priority, from the jobs of this entry.

    It tells how many processors waiting work would take at once.
    """

    def __init__(self) -> None:
        """Create it without jobs."""
        self.means: dict[int, MovingAverage] = {}

    def add(self, priority: int, estimate_ms: int) -> None:
        """Add a job."""
        self.means.setdefault(priority, MovingAverage(UNKNOWN_TASK_MS)).add(estimate_ms)

    def processors(self, work_by_priority: dict[int, float]) -> float:
        """Return the thousandths of a core that would run all of this work at once."""
        return sum(
            work
            / max(
                1.0,
                mean.value if (mean := self.means.get(priority)) else UNKNOWN_TASK_MS,
            )
            for priority, work in work_by_priority.items()
        )


@contextmanager
def leave_capacity(
    state: BurstEntryState, job: ActiveJob, views: Sequence[AgentView], now_ms: int
) -> Iterator[None]:
    """Take what has to be left from the free capacity of agents while a job is placed.

    Tasks of a job that has started are not held back: its runs would be in vain.
    """
    amounts = find_left_processors(state, job, views, now_ms)
    for view, cpu in amounts:
        view.available = view.available.minus(Resources(cpu))
    try:
        yield
    finally:
        for view, cpu in amounts:
            view.available = view.available.plus(Resources(cpu))


def find_left_processors(
    state: BurstEntryState, job: ActiveJob, views: Sequence[AgentView], now_ms: int
) -> list[tuple[AgentView, int]]:
    """Return what has to be left to more urgent work elsewhere, by agent."""
    known = state.known_backlog
    if (
        job.started
        or job.route.service not in state.route_table.prioritised_services
        or not known.is_known(now_ms)
    ):
        return []
    urgent = {
        priority: work
        for priority, work in known.work_by_priority(now_ms, only_shared=True).items()
        if priority < job.route.priority and work > 0
    }
    if not urgent:
        return []
    remaining = state.task_durations.processors(urgent)
    entries = known.entries_with_work(job.route.priority, now_ms)
    amounts: list[tuple[AgentView, int]] = []
    reachable = [
        view
        for view in views
        if any(known.shares(entry, view.name) for entry in entries)
    ]
    reachable.sort(
        key=lambda view: state.worker_slowdowns.slowdown(view.name, view.kind())
    )
    for view in reachable:
        if remaining <= 0:
            break
        cpu = view.available.cpu
        if state.left_capacity.may_leave(view.name, cpu, job.step.need.cpu, now_ms):
            left = min(cpu, int(remaining) + 1)
            remaining -= left
            amounts.append((view, left))
    if amounts:
        state.counters["placements_that_left_capacity"] += 1
    state.counters["capacity_left_in_vain"] = state.left_capacity.unused
    return amounts
