"""Predicts a task's work from the submitter's estimate and the route's past.

Answers estimates that are off by 40%: a task that is longer than estimated is
late on a slow worker, where its estimate would have been in time. The work of
earlier tasks of a route says as much as the estimate when both vary as widely;
the prediction weighs them by their variances, as the best linear one does.
"""

from __future__ import annotations

import math

__all__ = ["WorkBook"]

# Runs of a route before its past counts.
LEAST_RUNS = 20
# Weight of one run: an average over about the last 200 runs, some ten jobs.
RUN_WEIGHT = 0.005
# Bounds on one run, so that one that hung moves little.
WORK_MIN_MS = 1.0
WORK_MAX_MS = 60_000.0


class RouteWork:
    """Decayed means and variances of logarithms, of work and of estimates."""

    __slots__ = ("error", "error_variance", "runs", "work", "work_variance")

    def __init__(self) -> None:
        """Begin without runs."""
        self.runs = 0
        self.work = 0.0
        self.work_variance = 0.0
        # Of the estimate against the work.
        self.error = 0.0
        self.error_variance = 0.0

    def note(self, work: float, error: float) -> None:
        """Take in one run."""
        self.runs += 1
        weight = max(RUN_WEIGHT, 1.0 / self.runs)
        apart = work - self.work
        self.work += weight * apart
        self.work_variance += weight * (apart * (work - self.work) - self.work_variance)
        apart = error - self.error
        self.error += weight * apart
        self.error_variance += weight * (
            apart * (error - self.error) - self.error_variance
        )

    def predict(self, estimate: float) -> float:
        """Return the expected logarithm of the work, by that of the estimate."""
        variance = self.work_variance + self.error_variance
        share = self.work_variance / variance if variance > 0 else 1.0
        return share * (estimate - self.error) + (1.0 - share) * self.work


class WorkBook:
    """The work of tasks by route, at a worker of the typical speed."""

    def __init__(self) -> None:
        """Begin without runs."""
        self.routes: dict[str, RouteWork] = {}

    def note(self, route: str, estimate_ms: int, run_ms: int, speed: float) -> None:
        """Take in a run that ended as done; ``speed`` is its worker's factor."""
        if run_ms <= 0 or estimate_ms <= 0:
            return
        work_ms = min(WORK_MAX_MS, max(WORK_MIN_MS, run_ms / speed))
        work = math.log(work_ms)
        known = self.routes.setdefault(route, RouteWork())
        known.note(work, math.log(estimate_ms) - work)

    def predict_ms(self, route: str, estimate_ms: int) -> float:
        """Return the work to expect; the estimate itself while little is known."""
        known = self.routes.get(route)
        if known is None or known.runs < LEAST_RUNS or estimate_ms <= 0:
            return float(estimate_ms)
        return math.exp(known.predict(math.log(estimate_ms)))
