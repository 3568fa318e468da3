"""Chooses workers for the tasks of a job.

Answers workers of unlike speed: a job ends with its slowest task, so each
task goes to the fastest worker that has room, near ones first among equals.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.messages.burst import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

__all__ = ["Candidate", "place_tasks", "rank"]

# Workers within this ratio of speed count as equal.
SPEED_STEP = 1.15


class Candidate(NamedTuple):
    """A worker that may take tasks; ``speed`` is run time per estimate."""

    agent: str
    free: Resources
    speed: float
    near: bool
    tried: bool


def rank(candidates: Iterable[Candidate], random: Random) -> list[Candidate]:
    """Order workers: untried, fast, near; equals in random order.

    Random order keeps entries that see the same room from racing for it.
    """
    return sorted(
        candidates,
        key=lambda item: (
            item.tried,
            round(math.log(item.speed, SPEED_STEP)),
            not item.near,
            random.random(),
        ),
    )


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
    left = count
    for candidate in candidates:
        if left == 0:
            break
        fits = fitting(candidate.free, need, left)
        if spread_limit:
            fits = min(fits, spread_limit)
        if fits:
            placed.append((candidate.agent, fits))
            left -= fits
    return placed


def fitting(free: Resources, need: Resources, most: int) -> int:
    """Return how many tasks fit, ``most`` at the most."""
    fits = most
    for have, each in zip(free, need, strict=True):
        if each > 0:
            fits = min(fits, max(0, have) // each)
    return fits
