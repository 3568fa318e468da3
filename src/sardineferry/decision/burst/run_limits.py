"""Limits on the runs that are ordered of an agent and the tasks that an entry holds.

Load pattern: jobs with very many tasks that need next to nothing, so that the resources
of the workers bound neither the runs at an agent nor the tasks at an entry. Without
limits an agent spends seconds on starting runs, is silent meanwhile and counts as lost,
and an entry runs out of memory.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.messages.burst import Resources

__all__ = [
    "MAX_RUNS",
    "MAX_RUNS_PER_JOB_AND_PASS",
    "MAX_RUNS_PER_ORDER",
    "MAX_RUNS_PER_PASS",
    "MAX_STARTING_RUNS",
    "MAX_TASKS_PER_JOB",
    "MIN_OFFERED_RUNS",
    "MIN_WIDE_TASKS",
    "count_slots",
    "fits_task_budget",
    "least_run_ms",
]

# Runs at an agent that its worker has not confirmed yet: a worker has to answer all of
# them within the time limit of a request, and the agent must not be silent meanwhile.
MAX_STARTING_RUNS = 64
# An agent offers capacity while so many more may start: fewer would be used up by the
# first order of several that arrive.
MIN_OFFERED_RUNS = 8
# Runs at an agent. It goes through all of them several times a second.
MAX_RUNS = 1_024
# Runs of one order. Half of the above leaves room for the jobs behind a wide one.
MAX_RUNS_PER_ORDER = MAX_STARTING_RUNS // 2
# Runs that an entry orders before it reads its sockets again, of one job and of all.
MAX_RUNS_PER_JOB_AND_PASS = 256
MAX_RUNS_PER_PASS = 1_024
# Tasks of a job. An entry orders some 4,000 runs a second on a whole core, and jobs
# have to be answered within seconds.
MAX_TASKS_PER_JOB = 5_000
# Jobs with fewer tasks are not examined for whether all workers suffice.
MIN_WIDE_TASKS = 100
# A job may take this share of the free part of the budget for tasks, so that jobs with
# few tasks find space beside any number of wide ones.
JOB_BUDGET_SHARE = 0.25
# Runs may be shorter than estimated by this factor.
MIN_ESTIMATE_SHARE = 0.5


def fits_task_budget(tasks: int, held: int, limit: int) -> bool:
    """Return whether a job of so many tasks may be admitted beside those held."""
    return tasks <= JOB_BUDGET_SHARE * (limit - held)


def count_slots(total: Resources, need: Resources, spread_limit: int) -> float:
    """Return how many tasks can run on an empty worker at once; may be infinite."""
    slots = float(spread_limit) if spread_limit > 0 else math.inf
    for available, needed in zip(total, need, strict=True):
        if needed > 0:
            slots = min(slots, available // needed)
    return slots


def least_run_ms(
    tasks: int, estimate_ms: int, slots: Iterable[float], slowdown: float
) -> float:
    """Return the least time from the first to the last start of a job's tasks.

    ``slots`` are the tasks that each worker can run at once if it runs no others, and
    ``slowdown`` is the run time over the estimate on the workers.
    """
    total_slots = sum(slots)
    if total_slots <= 0:
        return math.inf
    waves = math.ceil(tasks / total_slots) if total_slots < tasks else 1
    return (waves - 1) * estimate_ms * MIN_ESTIMATE_SHARE * min(1.0, slowdown)
