"""Chooses workers for the tasks of a job.

Workers differ in speed, and a job ends with its slowest task, so one worker that
is too slow makes the whole job late. While capacity is ample, each task goes to
a worker where the job is least probably late, and to the fastest of these. When
capacity is scarce, it goes to the slowest one on which it is almost surely in time.
That leaves the fast workers to long jobs and to jobs that have waited.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst.run_limits import MAX_RUNS_PER_ORDER
from sardineferry.messages.burst import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

__all__ = ["Candidate", "is_capacity_scarce", "place_tasks", "rank_candidates"]

# Workers whose slowdowns differ by less than about this ratio rank as equal.
SLOWDOWN_CLASS_RATIO = 1.15
# Capacity is scarce when less than this share of it is free: a burst of 1.3 times
# the usual load then fills it within a second.
SCARCE_FREE_SHARE = 0.3


class Candidate(NamedTuple):
    """A worker that may be given tasks.

    ``slowdown`` is run time over expected work: higher is slower.
    ``avoided`` is true if a run of the task failed, was lost or was rejected there.
    ``likely_available`` is true if ``free`` is recent, or much more than a task
    needs, so that other entries have probably not used it up. ``is_cold`` is true soon
    after the worker's start, while it is slow. At most ``max_tasks`` are placed there.
    """

    agent: str
    free: Resources
    slowdown: float
    same_data_centre: bool
    avoided: bool
    meets_goal: bool
    likely_available: bool = True
    is_cold: bool = False
    max_tasks: int = MAX_RUNS_PER_ORDER


def is_capacity_scarce(free_cpu: int, total_cpu: int) -> bool:
    """Return whether the free share of the capacity is below the bound."""
    return free_cpu < SCARCE_FREE_SHARE * total_cpu


def rank_candidates(
    candidates: Iterable[Candidate], scarce: bool, random: Random
) -> list[Candidate]:
    """Return candidates from best to worst; earlier fields of the key count more.

    Among those where the job is about as likely in time, workers in the entry's data
    centre save traffic between data centres, and
    their reports are more recent. Entries that know of the same free capacity
    would all order it at once: preferring capacity that is likely available, and
    ranking equal workers at random, makes that rarer.
    """

    def key(item: Candidate) -> tuple[bool, bool, bool, bool, bool, int, float]:
        slowdown_class = round(math.log(item.slowdown, SLOWDOWN_CLASS_RATIO))
        slowest_first = scarce and item.meets_goal
        return (
            not item.meets_goal,
            item.is_cold,
            item.avoided,
            not item.same_data_centre,
            not item.likely_available,
            -slowdown_class if slowest_first else slowdown_class,
            random.random(),
        )

    return sorted(candidates, key=key)


def place_tasks(
    count: int,
    need: Resources,
    spread_limit: int,
    candidates: list[Candidate],
) -> list[tuple[str, int]]:
    """Return the agents that are given some of ``count`` tasks, each with its number.

    Candidates are filled in their order. ``spread_limit`` bounds the tasks on one
    worker; 0 sets no bound. Tasks that do not fit are left out.
    """
    placed: list[tuple[str, int]] = []
    remaining = count
    for candidate in candidates:
        if remaining == 0:
            break
        limit = min(remaining, candidate.max_tasks)
        fits = count_fitting(candidate.free, need, limit)
        if spread_limit:
            fits = min(fits, spread_limit)
        if fits > 0:
            placed.append((candidate.agent, fits))
            remaining -= fits
    return placed


def count_fitting(free: Resources, need: Resources, limit: int) -> int:
    """Return how many tasks fit into the free capacity, at most ``limit``."""
    fits = limit
    for available, needed in zip(free, need, strict=True):
        if needed > 0:
            fits = min(fits, max(0, available) // needed)
    return fits
