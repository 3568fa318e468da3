"""Finds the cause for which a job was late, refused or unanswered."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.explain.lines import JobEnded
    from sardineferry.explain.lines import JobRefused
    from sardineferry.explain.lines import RunEnded
    from sardineferry.explain.lines import RunsOrdered

__all__ = ["Cause", "JobHistory", "find_cause", "find_refusal_cause"]

# A job that waited for longer than this share of its goal is late because of that.
LONG_WAIT_GOAL_SHARE = 0.25
# A run took longer than estimated if its time exceeds that for its worker by this
# factor.
OVER_ESTIMATE_FACTOR = 1.3
# A worker is slow if its slowdown exceeds that of most by this factor.
SLOW_WORKER_FACTOR = 1.2


class Cause(Enum):
    """Why a job was late, refused or unanswered."""

    WAITED = "waited for capacity"
    SLOW_WORKER = "placed on a slow worker"
    WORK_OVER_ESTIMATE = "work over the estimate"
    RUN_FAILED = "a run failed"
    RUN_STALLED = "a run stalled"
    RUN_LOST = "a run was lost"
    RUN_REFUSED = "a run was refused"
    NARROWLY_LATE = "narrowly late"
    NO_CONFIGURATION = "entry without configuration"
    NO_WORKER = "entry without a suitable worker"
    STOPPING = "entry was stopping"
    FORECAST_FULL = "refused by forecast, no capacity free"
    FORECAST_FREE = "refused by forecast, capacity free"
    UNSUPPORTED = "not supported"
    RESTART = "entry restarted"
    CALLER_LEFT = "caller left or cancelled"
    OTHER = "other"


CAUSE_BY_REASON = {
    "no room in time": Cause.WAITED,
    "no room in time after an evacuation": Cause.WAITED,
    "forecast start too late": Cause.WAITED,
    "no room for a repeat": Cause.RUN_LOST,
    "attempts used up": Cause.RUN_FAILED,
    "entry is leaving": Cause.STOPPING,
    "entry has left": Cause.STOPPING,
    "no configuration yet": Cause.NO_CONFIGURATION,
    "no worker of the service is linked": Cause.NO_WORKER,
    "no worker is large enough or has the label": Cause.NO_WORKER,
    "no worker outside evacuated data centres": Cause.NO_WORKER,
    "caller left": Cause.CALLER_LEFT,
    "cancelled": Cause.CALLER_LEFT,
}
# By the end of the worst run, the worst first.
CAUSE_BY_RUN_END = {
    "lost": Cause.RUN_LOST,
    "failed": Cause.RUN_FAILED,
    "refused": Cause.RUN_REFUSED,
}


class JobHistory:
    """What the logs tell of one job."""

    __slots__ = ("estimate_ms", "orders", "runs")

    def __init__(self, estimate_ms: int) -> None:
        """Create it without orders; ``estimate_ms`` is a task's estimated work."""
        self.estimate_ms = estimate_ms
        self.orders: list[RunsOrdered] = []
        self.runs: list[RunEnded] = []


def find_refusal_cause(refused: JobRefused, task_cpu: int) -> Cause:
    """Return why a job was refused; ``task_cpu`` is what counts as free capacity."""
    if refused.reason.startswith("forecast wait"):
        is_free = refused.free_cpu >= task_cpu
        return Cause.FORECAST_FREE if is_free else Cause.FORECAST_FULL
    if refused.reason.startswith("not supported"):
        return Cause.UNSUPPORTED
    return CAUSE_BY_REASON.get(refused.reason, Cause.OTHER)


def find_cause(
    ended: JobEnded, history: JobHistory, usual_slowdown: float
) -> Cause | None:
    """Return why a job was late or not completed; None if it was in time."""
    if ended.outcome != "completed":
        return CAUSE_BY_REASON.get(ended.reason, Cause.OTHER)
    if ended.took_ms <= ended.goal_ms:
        return None
    ends = {run.how for run in history.runs}
    if any(run.reason == "stalled" for run in history.runs):
        return Cause.RUN_STALLED
    for how, cause in CAUSE_BY_RUN_END.items():
        if how in ends:
            return cause
    if not history.orders:
        return Cause.OTHER
    if max(order.waited_ms for order in history.orders) > (
        LONG_WAIT_GOAL_SHARE * ended.goal_ms
    ):
        return Cause.WAITED
    slowdown = max(order.speed for order in history.orders)
    longest_ms = max((run.run_ms for run in history.runs), default=0)
    if longest_ms > OVER_ESTIMATE_FACTOR * history.estimate_ms * slowdown:
        return Cause.WORK_OVER_ESTIMATE
    if slowdown > SLOW_WORKER_FACTOR * usual_slowdown:
        return Cause.SLOW_WORKER
    return Cause.NARROWLY_LATE
