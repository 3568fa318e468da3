"""Predicts the work of a task from its estimate and the route's earlier tasks.

Work is the run time in ms on a worker with a slowdown of 1. Submitters' estimates are
off by 40%, so that a task may be late on a slow worker although its estimate would
have been in time. The prediction is the mean of the estimate, corrected for its
usual error, and the route's average. Both are weighted inversely to their variances,
as in the best linear predictor. Averages and variances are of logarithms.
"""

from __future__ import annotations

import math

__all__ = ["WorkPredictor"]

# Runs of a route before they are used for predictions.
MIN_RUNS = 20
# Averages over about the last 200 runs, which is about ten jobs.
MIN_RUN_WEIGHT = 0.005
# Bounds on the work of one run, which limit the effect of a run that hung.
WORK_MIN_MS = 1.0
WORK_MAX_MS = 60_000.0


class RouteWorkStatistics:
    """Decaying means and variances of the logarithms of work and estimate error."""

    __slots__ = ("error_variance", "mean_error", "mean_work", "runs", "work_variance")

    def __init__(self) -> None:
        """Create it without runs."""
        self.runs = 0
        self.mean_work = 0.0
        self.work_variance = 0.0
        # Estimate over work, as a logarithm.
        self.mean_error = 0.0
        self.error_variance = 0.0

    def add_run(self, log_work: float, log_error: float) -> None:
        """Add the logarithms of a run's work and of estimate over work."""
        self.runs += 1
        weight = max(MIN_RUN_WEIGHT, 1.0 / self.runs)
        deviation = log_work - self.mean_work
        self.mean_work += weight * deviation
        self.work_variance += weight * (
            deviation * (log_work - self.mean_work) - self.work_variance
        )
        deviation = log_error - self.mean_error
        self.mean_error += weight * deviation
        self.error_variance += weight * (
            deviation * (log_error - self.mean_error) - self.error_variance
        )

    def predict_log_work(self, log_estimate: float) -> float:
        """Return the expected logarithm of the work for that of the estimate."""
        variance = self.work_variance + self.error_variance
        estimate_weight = self.work_variance / variance if variance > 0 else 1.0
        return (
            estimate_weight * (log_estimate - self.mean_error)
            + (1.0 - estimate_weight) * self.mean_work
        )


class WorkPredictor:
    """Predicts the work of tasks, by route."""

    def __init__(self) -> None:
        """Create it without runs."""
        self.routes: dict[str, RouteWorkStatistics] = {}

    def add_run(
        self, route: str, estimate_ms: int, run_ms: int, slowdown: float
    ) -> None:
        """Add a completed run; ``slowdown`` is that of its worker."""
        if run_ms <= 0 or estimate_ms <= 0:
            return
        work_ms = min(WORK_MAX_MS, max(WORK_MIN_MS, run_ms / slowdown))
        log_work = math.log(work_ms)
        statistics = self.routes.setdefault(route, RouteWorkStatistics())
        statistics.add_run(log_work, math.log(estimate_ms) - log_work)

    def predict_ms(self, route: str, estimate_ms: int) -> float:
        """Return the expected work; the estimate until enough runs are known."""
        statistics = self.routes.get(route)
        if statistics is None or statistics.runs < MIN_RUNS or estimate_ms <= 0:
            return float(estimate_ms)
        return math.exp(statistics.predict_log_work(math.log(estimate_ms)))
