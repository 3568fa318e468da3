"""Generates job arrivals for the routing benchmark, the same for every rule."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

__all__ = ["Arrival", "Scenario", "capacity_per_ms", "make_arrivals", "target_slowness"]

MEAN_RUN_MS = 340.0
# Standard deviation of the logarithm of the run time.
RUN_TIME_LOG_SIGMA = 0.8
MIN_RUN_MS = 50.0
MAX_RUN_MS = 5_000.0


class Scenario(NamedTuple):
    """A deployment and its load.

    ``slots`` are those of each target. ``speed_ratio`` is the speed of the fastest
    target over that of the slowest. ``load`` is a share of the capacity, and
    ``tasks`` the number of tasks of all jobs together.
    """

    name: str = "tanjung"
    entries: int = 3
    targets: int = 10
    slots: int = 8
    speed_ratio: float = 4.0
    load: float = 0.8
    tasks_per_job: int = 1
    tasks: int = 20_000
    seed: int = 1


class Arrival(NamedTuple):
    """A job: its arrival time, its entry, and its tasks' run times.

    The run times are those on a target of slowness 1.
    """

    at_ms: float
    entry: int
    run_times_ms: tuple[float, ...]


def target_slowness(scenario: Scenario) -> tuple[float, ...]:
    """Return the factors on run times by target, evenly spaced on a log scale."""
    steps = max(1, scenario.targets - 1)
    root = math.sqrt(scenario.speed_ratio)
    return tuple(
        (1 / root) * scenario.speed_ratio ** (index / steps)
        for index in range(scenario.targets)
    )


def draw_run_ms(rng: random.Random) -> float:
    """Draw a run time from a log-normal distribution, clipped at both ends."""
    log_mean = math.log(MEAN_RUN_MS) - RUN_TIME_LOG_SIGMA**2 / 2
    return min(
        MAX_RUN_MS, max(MIN_RUN_MS, rng.lognormvariate(log_mean, RUN_TIME_LOG_SIGMA))
    )


def capacity_per_ms(scenario: Scenario) -> float:
    """Return how many tasks all targets together finish per ms on average."""
    rng = random.Random(0)
    mean_ms = sum(draw_run_ms(rng) for _ in range(20_000)) / 20_000
    return sum(
        scenario.slots / (mean_ms * slowness) for slowness in target_slowness(scenario)
    )


def make_arrivals(scenario: Scenario) -> list[Arrival]:
    """Return Poisson arrivals of jobs at the scenario's load."""
    rng = random.Random(scenario.seed)
    mean_gap_ms = scenario.tasks_per_job / (capacity_per_ms(scenario) * scenario.load)
    arrivals = []
    at_ms = 1_000.0
    for _ in range(scenario.tasks // scenario.tasks_per_job):
        at_ms += rng.expovariate(1 / mean_gap_ms)
        run_times_ms = tuple(draw_run_ms(rng) for _ in range(scenario.tasks_per_job))
        arrivals.append(Arrival(at_ms, rng.randrange(scenario.entries), run_times_ms))
    return arrivals
