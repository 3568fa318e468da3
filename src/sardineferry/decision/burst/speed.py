"""Learned speed of workers: run time over the submitter's estimate.

Answers workers that differ in speed 2 to 3 times and estimates that are off
by 40%: the average over many runs cancels the estimates' errors.
"""

from __future__ import annotations

import math

__all__ = ["SpeedBook", "SpeedEstimate"]

# Weight of one run: an average over about the last 20 runs.
RUN_WEIGHT = 0.05
# Bounds on one run's ratio, so that a single odd estimate moves little.
RATIO_MIN = 0.1
RATIO_MAX = 10.0
# Runs after which a worker's own average counts as much as that of its kind.
PRIOR_RUNS = 10
# Factors are worked out anew after so many runs of any worker, for the kind's
# average moves too; an entry looks at all workers for each job.
RUNS_PER_SWEEP = 50


class SpeedEstimate:
    """A decayed mean of the logarithm of run time over estimate."""

    __slots__ = ("mean", "runs")

    def __init__(self) -> None:
        """Begin at the estimate itself."""
        self.mean = 0.0
        self.runs = 0

    def note(self, ratio: float) -> None:
        """Take in one run."""
        bounded = math.log(min(RATIO_MAX, max(RATIO_MIN, ratio)))
        self.runs += 1
        weight = max(RUN_WEIGHT, 1.0 / self.runs)
        self.mean += weight * (bounded - self.mean)


class SpeedBook:
    """Speeds by worker, with the speed of its kind as the prior."""

    def __init__(self) -> None:
        """Begin without runs."""
        self.workers: dict[str, SpeedEstimate] = {}
        self.kinds: dict[str, SpeedEstimate] = {}
        self.factors: dict[tuple[str, str], float] = {}
        self.runs_since_sweep = 0

    def note(self, worker: str, kind: str, run_ms: int, estimate_ms: int) -> None:
        """Take in a run that ended as done."""
        if run_ms <= 0 or estimate_ms <= 0:
            return
        ratio = run_ms / estimate_ms
        self.workers.setdefault(worker, SpeedEstimate()).note(ratio)
        of_kind = self.kinds.setdefault(kind, SpeedEstimate())
        of_kind.note(ratio)
        self.factors.pop((worker, kind), None)
        self.runs_since_sweep += 1
        # The first runs of a kind move its average most.
        young = of_kind.runs < RUNS_PER_SWEEP
        if young or self.runs_since_sweep >= RUNS_PER_SWEEP:
            self.runs_since_sweep = 0
            self.factors.clear()

    def factor(self, worker: str, kind: str) -> float:
        """Return the expected run time per estimated time at a worker."""
        known = self.factors.get((worker, kind))
        if known is None:
            known = self.work_out(worker, kind)
            self.factors[worker, kind] = known
        return known

    def work_out(self, worker: str, kind: str) -> float:
        """Weigh a worker's own average against that of its kind."""
        own = self.workers.get(worker)
        prior = self.kinds.get(kind)
        own_runs = own.runs if own is not None else 0
        own_mean = own.mean if own is not None else 0.0
        prior_mean = prior.mean if prior is not None else 0.0
        share = own_runs / (own_runs + PRIOR_RUNS)
        return math.exp(share * own_mean + (1.0 - share) * prior_mean)

    def typical(self) -> float:
        """Return the factor over all kinds, weighted by their runs."""
        runs = sum(kind.runs for kind in self.kinds.values())
        if runs == 0:
            return 1.0
        total = sum(kind.mean * kind.runs for kind in self.kinds.values())
        return math.exp(total / runs)
