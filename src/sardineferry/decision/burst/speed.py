"""Learned speed of workers: run time over the expected work.

Answers workers that differ in speed 2 to 3 times and estimates that are off
by 40%: the average over many runs cancels the estimates' errors. Each agent
learns its worker's speed from the runs of all entries and tells it with the
room: with 35 entries and 160 workers an entry alone would see a worker's tenth
run after eight seconds, and after a restart nothing at all.
"""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ["LearnedSpeed", "SpeedEstimate", "WorkerSpeeds"]

# Weight of one run: an average over about the last 100 runs, five seconds of a
# worker in use, is off by 3%; a slow worker is in time for long tasks or not by
# as little.
MIN_RUN_WEIGHT = 0.01
# A worker that turns slow shows in an average over about the last seven runs;
# beyond this difference of logarithms (1.5 times) that one counts.
MIN_RECENT_RUN_WEIGHT = 0.15
SPEED_CHANGE_LOG_RATIO = 0.4
# Runs that count for an average that has just shifted: it moves on fast.
RUNS_AFTER_SPEED_CHANGE = 3
# Bounds on one run's ratio, so that a single odd estimate moves little.
RATIO_MIN = 0.1
RATIO_MAX = 10.0
# Runs after which a worker's own average counts as much as that of its kind:
# the variance of one run's ratio over that of speeds, about 1, and tasks of a
# job that share the error of their estimate.
PRIOR_WEIGHT_RUNS = 3
# Runs of one worker that count at the most for its kind.
MAX_KIND_RUNS = 20
# Factors are worked out anew after so many reports of any worker, for the
# kind's average moves too; an entry looks at all workers for each job.
REPORTS_PER_RECOMPUTE = 50


class LearnedSpeed(NamedTuple):
    """Mean logarithm of run time over work, and the runs that it is from."""

    mean: float = 0.0
    runs: int = 0


class SpeedEstimate:
    """A decayed mean of the logarithm of run time over work.

    A long average, which gives way to a short one when the speed has changed.
    """

    __slots__ = ("mean", "recent_mean", "runs")

    def __init__(self) -> None:
        """Begin at the estimate itself."""
        self.mean = 0.0
        self.recent_mean = 0.0
        self.runs = 0

    def note(self, ratio: float) -> None:
        """Take in one run."""
        log_ratio = math.log(min(RATIO_MAX, max(RATIO_MIN, ratio)))
        self.runs += 1
        self.mean += max(MIN_RUN_WEIGHT, 1.0 / self.runs) * (log_ratio - self.mean)
        self.recent_mean += max(MIN_RECENT_RUN_WEIGHT, 1.0 / self.runs) * (
            log_ratio - self.recent_mean
        )
        if abs(self.recent_mean - self.mean) > SPEED_CHANGE_LOG_RATIO:
            self.mean = self.recent_mean
            self.runs = min(self.runs, RUNS_AFTER_SPEED_CHANGE)

    def learned(self) -> LearnedSpeed:
        """Return what is known."""
        return LearnedSpeed(self.mean, self.runs)


class WorkerSpeeds:
    """Speeds by worker, with the speed of its kind as the prior."""

    def __init__(self) -> None:
        """Begin without workers."""
        self.workers: dict[str, tuple[str, LearnedSpeed]] = {}
        self.kind_means: dict[str, float] = {}
        self.overall_mean = 0.0
        self.slowdown_cache: dict[tuple[str, str], float] = {}
        self.reports_since_recompute = 0

    def update(self, worker: str, kind: str, learned: LearnedSpeed) -> None:
        """Take what a worker's agent has learned."""
        known = self.workers.get(worker)
        if known == (kind, learned):
            return
        self.workers[worker] = (kind, learned)
        self.slowdown_cache.pop((worker, kind), None)
        self.reports_since_recompute += 1
        # The first runs of a worker move its kind's average most.
        has_few_runs = known is None or learned.runs < MAX_KIND_RUNS
        if has_few_runs or self.reports_since_recompute >= REPORTS_PER_RECOMPUTE:
            self.recompute_averages()

    def forget(self, worker: str) -> None:
        """Count a worker that is gone no more."""
        self.workers.pop(worker, None)

    def recompute_averages(self) -> None:
        """Work out the averages of kinds anew."""
        self.reports_since_recompute = 0
        self.slowdown_cache.clear()
        sums: dict[str, tuple[float, int]] = {}
        for kind, learned in self.workers.values():
            weight = min(MAX_KIND_RUNS, learned.runs)
            total, runs = sums.get(kind, (0.0, 0))
            sums[kind] = (total + weight * learned.mean, runs + weight)
        self.kind_means = {
            kind: total / runs for kind, (total, runs) in sums.items() if runs
        }
        runs = sum(runs for _, runs in sums.values())
        total = sum(total for total, _ in sums.values())
        self.overall_mean = total / runs if runs else 0.0

    def slowdown(self, worker: str, kind: str) -> float:
        """Return the expected run time per expected work at a worker."""
        known = self.slowdown_cache.get((worker, kind))
        if known is None:
            known = self.compute_slowdown(worker, kind)
            self.slowdown_cache[worker, kind] = known
        return known

    def compute_slowdown(self, worker: str, kind: str) -> float:
        """Weigh a worker's own average against that of its kind."""
        _, own = self.workers.get(worker, (kind, LearnedSpeed()))
        prior = self.kind_means.get(kind, self.overall_mean)
        own_weight = own.runs / (own.runs + PRIOR_WEIGHT_RUNS)
        return math.exp(own_weight * own.mean + (1.0 - own_weight) * prior)

    def typical_slowdown(self) -> float:
        """Return the factor over all workers, weighted by their runs."""
        return math.exp(self.overall_mean)
