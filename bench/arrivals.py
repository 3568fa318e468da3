"""Arrivals of jobs for the routing rig: the same for every rule."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

__all__ = ["Arrival", "Shape", "capacity_per_ms", "make_arrivals", "spread_slowness"]

MEAN_RUN_MS = 340.0
SIGMA = 0.8
SHORTEST_MS = 50.0
LONGEST_MS = 5_000.0


class Shape(NamedTuple):
    """A deployment and its load; ``spread`` is slowest over fastest target."""

    name: str = "tanjung"
    entries: int = 3
    targets: int = 10
    slots: int = 8
    spread: float = 4.0
    load: float = 0.8
    burst: int = 1
    tasks: int = 20_000
    seed: int = 1


class Arrival(NamedTuple):
    """One job: when it arrives, at which entry, its tasks' run times in ms."""

    at_ms: float
    entry: int
    runs_ms: tuple[float, ...]


def spread_slowness(shape: Shape) -> tuple[float, ...]:
    """Return how slow each target is, spread evenly on a log scale."""
    steps = max(1, shape.targets - 1)
    half = math.sqrt(shape.spread)
    return tuple(
        (1 / half) * shape.spread ** (index / steps) for index in range(shape.targets)
    )


def draw_run_ms(source: random.Random) -> float:
    """Draw a run time: log-normal, from 50 ms to several seconds."""
    middle = math.log(MEAN_RUN_MS) - SIGMA**2 / 2
    return min(LONGEST_MS, max(SHORTEST_MS, source.lognormvariate(middle, SIGMA)))


def capacity_per_ms(shape: Shape) -> float:
    """Return how many mean tasks all targets finish in a millisecond."""
    source = random.Random(0)
    mean_ms = sum(draw_run_ms(source) for _ in range(20_000)) / 20_000
    return sum(shape.slots / (mean_ms * slow) for slow in spread_slowness(shape))


def make_arrivals(shape: Shape) -> list[Arrival]:
    """Return Poisson arrivals of bursts at the shape's load."""
    source = random.Random(shape.seed)
    gap_ms = shape.burst / (capacity_per_ms(shape) * shape.load)
    arrivals = []
    at_ms = 1_000.0
    for _ in range(shape.tasks // shape.burst):
        at_ms += source.expovariate(1 / gap_ms)
        runs = tuple(draw_run_ms(source) for _ in range(shape.burst))
        arrivals.append(Arrival(at_ms, source.randrange(shape.entries), runs))
    return arrivals
