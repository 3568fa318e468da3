"""Chooses workers for the tasks of a job.

Answers workers of unlike speed: a job ends with its slowest task, and is late
on a worker that is too slow for it. While there is room, each task goes to the
fastest worker. When room is short, it goes to the slowest worker on which it
still ends in time, which leaves the fast ones to long jobs and to jobs that
have waited.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.messages.burst import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

__all__ = ["Candidate", "is_capacity_scarce", "place_tasks", "rank_candidates"]

# Workers within this ratio of speed count as equal.
SPEED_CLASS_RATIO = 1.15
# Room is short when less than this share of it is free: a burst of 1.3 times
# the usual load then fills it within a second.
SCARCE_FREE_SHARE = 0.3


class Candidate(NamedTuple):
    """A worker that may take tasks; ``speed`` is run time per work.

    ``sure`` tells that the room was just pushed, or is much more than a task
    takes: others have probably not taken it meanwhile.
    """

    agent: str
    free: Resources
    slowdown: float
    same_data_centre: bool
    avoided: bool
    meets_goal: bool
    likely_available: bool = True


def is_capacity_scarce(free_cpu: int, total_cpu: int) -> bool:
    """Tell whether room is short."""
    return free_cpu < SCARCE_FREE_SHARE * total_cpu


def rank_candidates(
    candidates: Iterable[Candidate], scarce: bool, random: Random
) -> list[Candidate]:
    """Order workers: in time, untried, near, sure, by speed; equals at random.

    Near ones save bytes between data centres, and what is known of them is
    newer. Random order, and room that is likely to be there still, keep entries
    that see the same room from racing for it.
    """

    def key(item: Candidate) -> tuple[bool, bool, bool, bool, int, float]:
        speed_class = round(math.log(item.slowdown, SPEED_CLASS_RATIO))
        slowest_first = scarce and item.meets_goal
        return (
            not item.meets_goal,
            item.avoided,
            not item.same_data_centre,
            not item.likely_available,
            -speed_class if slowest_first else speed_class,
            random.random(),
        )

    return sorted(candidates, key=key)


def place_tasks(
    count: int,
    need: Resources,
    spread_limit: int,
    candidates: list[Candidate],
) -> list[tuple[str, int]]:
    """Return how many of ``count`` tasks go to which agent, best first.

    ``spread_limit`` bounds the tasks on one worker; 0 sets no bound. Fewer
    tasks than asked are placed where room is short.
    """
    placed: list[tuple[str, int]] = []
    remaining = count
    for candidate in candidates:
        if remaining == 0:
            break
        fits = count_fitting(candidate.free, need, remaining)
        if spread_limit:
            fits = min(fits, spread_limit)
        if fits:
            placed.append((candidate.agent, fits))
            remaining -= fits
    return placed


def count_fitting(free: Resources, need: Resources, limit: int) -> int:
    """Return how many tasks fit, ``most`` at the most."""
    fits = limit
    for available, needed in zip(free, need, strict=True):
        if needed > 0:
            fits = min(fits, max(0, available) // needed)
    return fits
