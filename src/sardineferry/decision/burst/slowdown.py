"""Learns how fast workers are, as a slowdown: run time over expected work.

A higher slowdown means a slower worker. In messages and logs, fields called speed hold
the slowdown or its logarithm.

Workers differ in speed by a factor of 2 to 3, and estimates of work are off by
40%; an average over many runs cancels the errors of the estimates. Each agent
learns its worker's slowdown from the runs of all entries and reports it with the
free capacity. With 35 entries and 160 workers, an entry on its own would see a
worker's tenth run after eight seconds, and would know nothing after a restart.
"""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ["LearnedSlowdown", "SlowdownEstimator", "WorkerSlowdowns"]

# Averages over about the last 100 runs, which a busy worker does in 5 s. The error
# is then 3%, and even that can decide whether a slow worker is in time for a long
# task.
MIN_RUN_WEIGHT = 0.01
# A change of speed shows in an average over about the last seven runs, which
# replaces the long average when their logarithms differ by more than 0.4, a factor
# of 1.5.
MIN_RECENT_RUN_WEIGHT = 0.15
SPEED_CHANGE_LOG_RATIO = 0.4
# The number of runs that the new average counts for after such a change: few, so
# that it adapts fast.
RUNS_AFTER_SPEED_CHANGE = 3
# Bounds on one run's ratio, which limit the effect of a single wrong estimate.
RATIO_MIN = 0.1
RATIO_MAX = 10.0
# Runs after which a worker's own average weighs as much as that of its kind. The
# variance of one run's ratio over that of workers' slowdowns is about 1; the value
# is higher because the tasks of a job share the error of their estimate.
PRIOR_WEIGHT_RUNS = 3
# A worker counts for at most this many runs in the averages of its kind and of all
# workers. Until it has done that many, each report raises its weight there, so the
# averages are recomputed at once.
MAX_RUNS_COUNTED_PER_WORKER = 20
# Each report changes the average of a kind, and so the slowdown of its workers. As
# an entry looks up all workers for each job, slowdowns are cached, and averages are
# recomputed only after this many reports, or at once for a worker with few runs.
REPORTS_PER_RECOMPUTE = 50


class LearnedSlowdown(NamedTuple):
    """Mean logarithm of the slowdown, and the number of runs behind it."""

    mean_log_slowdown: float = 0.0
    runs: int = 0


class SlowdownEstimator:
    """Learns the slowdown of one worker, as a decaying average of its logarithm.

    A long-term average is replaced by a short-term one when the speed has changed.
    """

    __slots__ = ("mean", "recent_mean", "runs")

    def __init__(self) -> None:
        """Create it without runs, at a slowdown of 1."""
        self.mean = 0.0
        self.recent_mean = 0.0
        self.runs = 0

    def add_run(self, ratio: float) -> None:
        """Add the run time over expected work of one run."""
        log_ratio = math.log(min(RATIO_MAX, max(RATIO_MIN, ratio)))
        self.runs += 1
        self.mean += max(MIN_RUN_WEIGHT, 1.0 / self.runs) * (log_ratio - self.mean)
        self.recent_mean += max(MIN_RECENT_RUN_WEIGHT, 1.0 / self.runs) * (
            log_ratio - self.recent_mean
        )
        if abs(self.recent_mean - self.mean) > SPEED_CHANGE_LOG_RATIO:
            self.mean = self.recent_mean
            self.runs = min(self.runs, RUNS_AFTER_SPEED_CHANGE)

    def learned(self) -> LearnedSlowdown:
        """Return the average and the number of runs behind it."""
        return LearnedSlowdown(self.mean, self.runs)


class WorkerSlowdowns:
    """Slowdowns of workers, each averaged with the mean of its kind.

    Workers are identified by the names of their agents. A worker's kind is its first
    label. All means are of logarithms of slowdowns.
    """

    def __init__(self) -> None:
        """Create it without workers."""
        self.workers: dict[str, tuple[str, LearnedSlowdown]] = {}
        self.kind_means: dict[str, float] = {}
        self.overall_mean = 0.0
        self.slowdown_cache: dict[tuple[str, str], float] = {}
        self.reports_since_recompute = 0

    def update(self, worker: str, kind: str, learned: LearnedSlowdown) -> None:
        """Record the slowdown that a worker's agent has learned."""
        known = self.workers.get(worker)
        if known == (kind, learned):
            return
        self.workers[worker] = (kind, learned)
        self.slowdown_cache.pop((worker, kind), None)
        self.reports_since_recompute += 1
        # The first runs of a worker change the average of its kind most.
        has_few_runs = known is None or learned.runs < MAX_RUNS_COUNTED_PER_WORKER
        if has_few_runs or self.reports_since_recompute >= REPORTS_PER_RECOMPUTE:
            self.recompute_averages()

    def forget(self, worker: str) -> None:
        """Remove a worker; it still counts in averages until they are recomputed."""
        self.workers.pop(worker, None)

    def recompute_averages(self) -> None:
        """Recompute the averages of kinds and of all workers."""
        self.reports_since_recompute = 0
        self.slowdown_cache.clear()
        sums: dict[str, tuple[float, int]] = {}
        for kind, learned in self.workers.values():
            weight = min(MAX_RUNS_COUNTED_PER_WORKER, learned.runs)
            total, runs = sums.get(kind, (0.0, 0))
            sums[kind] = (total + weight * learned.mean_log_slowdown, runs + weight)
        self.kind_means = {
            kind: total / runs for kind, (total, runs) in sums.items() if runs
        }
        runs = sum(runs for _, runs in sums.values())
        total = sum(total for total, _ in sums.values())
        self.overall_mean = total / runs if runs else 0.0

    def slowdown(self, worker: str, kind: str) -> float:
        """Return a worker's expected run time over expected work, cached."""
        known = self.slowdown_cache.get((worker, kind))
        if known is None:
            known = self.compute_slowdown(worker, kind)
            self.slowdown_cache[worker, kind] = known
        return known

    def compute_slowdown(self, worker: str, kind: str) -> float:
        """Compute the slowdown from a worker's own average and that of its kind.

        The own one weighs more with each run. For a kind without runs, the average
        of all workers is used.
        """
        _, own = self.workers.get(worker, (kind, LearnedSlowdown()))
        prior = self.kind_means.get(kind, self.overall_mean)
        own_weight = own.runs / (own.runs + PRIOR_WEIGHT_RUNS)
        return math.exp(own_weight * own.mean_log_slowdown + (1.0 - own_weight) * prior)

    def prior_weight(self, worker: str) -> float:
        """Return the weight of the average of its kind in a worker's slowdown."""
        _, own = self.workers.get(worker, ("", LearnedSlowdown()))
        return PRIOR_WEIGHT_RUNS / (own.runs + PRIOR_WEIGHT_RUNS)

    def typical_slowdown(self) -> float:
        """Return the geometric mean of all slowdowns.

        They are weighted by their runs, up to ``MAX_RUNS_COUNTED_PER_WORKER``.
        """
        return math.exp(self.overall_mean)
