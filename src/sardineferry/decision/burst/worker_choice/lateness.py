"""Estimates how probable it is that a job is late on a worker.

A job is in time if it ends within ``slack_factor`` times the true work of its longest
task plus a fixed part. The entry knows only an estimate of the work. An error of the
estimate changes both the run time and the bound: on a worker whose slowdown is above
the slack factor a job with more work than estimated is late, on a faster worker a job
with less work that has waited for longer than the fixed part.

The logarithm of the longest task's work is taken as normally distributed. The
probability rises with the slowdown, so a bound on it is a bound on the slowdown, which
is computed once for a job and compared with the slowdown of each worker.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from statistics import NormalDist
from typing import NamedTuple

__all__ = [
    "LIKELY_LATE",
    "JobTimes",
    "expected_wait_ms",
    "lateness_class",
    "max_wait_ms",
    "slowdown_limits",
]

# Standard deviation of the logarithm of an estimate, by the platform's data.
ESTIMATE_SIGMA = 0.4
# The work of a task differs from the mean of its job by up to this share.
TASK_VARIATION = 0.15
# Standard deviation of the logarithm of a run's slowdown around the learned one. With
# it, the limits of 25% and 50% lie near the slowdowns with such measured shares of late
# jobs: 29% at 1.8 and 48% at 2.0 for eight short tasks, 33% at 1.8 for two of 400 ms.
SLOWDOWN_SIGMA = 0.1
# Time from an order to the start of its run, and from its end to the answer.
ORDER_DELAY_MS = 5.0
# The share of start requests without an answer (2 to 4% were measured), and the time
# after which such a request is repeated.
UNANSWERED_SHARE = 0.03
REPEAT_DELAY_MS = 40.0
# Probabilities of being late that separate the classes of workers. Within a class,
# other properties of workers decide.
CLASS_BOUNDS = (0.05, 0.25, 0.5, 0.75)
# The class from which on a job will probably be late.
LIKELY_LATE = 2

# What the work and the slowdown deviate by with each of these probabilities.
DEVIATIONS = tuple(NormalDist().inv_cdf(1 - bound) for bound in CLASS_BOUNDS)
MORE_WORK_FACTORS = tuple(math.exp(ESTIMATE_SIGMA * item) for item in DEVIATIONS)
LESS_WORK_FACTORS = tuple(math.exp(-ESTIMATE_SIGMA * item) for item in DEVIATIONS)
SLOWDOWN_ERRORS = tuple(SLOWDOWN_SIGMA * item for item in DEVIATIONS)
NO_LIMITS = (0.0,) * len(CLASS_BOUNDS)


class JobTimes(NamedTuple):
    """What is known of the times of a job.

    ``mean_ms`` and ``longest_ms`` are the expected work of a task and of the longest
    one; ``spare_ms`` is what the delays of its orders leave of the fixed part of its
    goal.
    """

    mean_ms: float
    longest_ms: float
    slack_factor: float
    spare_ms: float

    @classmethod
    def of_tasks(
        cls, tasks: int, estimate_ms: float, slack_factor: float, fixed_ms: float
    ) -> JobTimes:
        """Return the times of a job with so many tasks of this estimated work."""
        # The expected maximum of uniformly distributed values.
        longest = 1 - TASK_VARIATION + 2 * TASK_VARIATION * tasks / (tasks + 1)
        # More tasks make it more probable that a request has to be repeated.
        any_unanswered = 1 - (1 - UNANSWERED_SHARE) ** tasks
        delay_ms = ORDER_DELAY_MS + any_unanswered * REPEAT_DELAY_MS
        return cls(
            estimate_ms, estimate_ms * longest, slack_factor, fixed_ms - delay_ms
        )


def slowdown_limits(times: JobTimes, waited_ms: float) -> tuple[float, ...]:
    """Return up to which slowdowns workers belong to each class but the last.

    A limit is 0 if the job is late with a higher probability on any worker.
    """
    spare_ms = times.spare_ms - waited_ms
    slack_factor = times.slack_factor
    share = spare_ms / times.longest_ms
    # The limit for exact estimates and slowdowns.
    exact = slack_factor + share
    if exact <= 0:
        return NO_LIMITS
    # More work than estimated makes a job late that has time to spare, less work one
    # that has to catch up.
    factors = MORE_WORK_FACTORS if spare_ms > 0 else LESS_WORK_FACTORS
    limits = []
    for factor, slowdown_error in zip(factors, SLOWDOWN_ERRORS, strict=True):
        limit = slack_factor + share / factor
        if limit <= 0:
            limits.append(0.0)
            continue
        # Both errors are independent.
        error = math.hypot(math.log(exact / limit), slowdown_error)
        limits.append(exact * math.exp(-error if slowdown_error > 0 else error))
    return tuple(limits)


def lateness_class(limits: tuple[float, ...], slowdown: float) -> int:
    """Return the class of a worker; 0 is that of the least probability."""
    return bisect_left(limits, slowdown)


def max_wait_ms(times: JobTimes, slowdown: float) -> float:
    """Return how long a job may wait until it is probably late at this slowdown.

    On a fast worker it can catch up. There the mean work counts, so that a job with
    more tasks may not wait for longer than one with fewer.
    """
    gain = times.slack_factor - slowdown
    work_ms = times.mean_ms if gain > 0 else times.longest_ms
    return times.spare_ms + gain * work_ms


def expected_wait_ms(
    need_cpu: int, total_cpu: int, run_ms: float, sharing_entries: int
) -> float:
    """Return how long full workers take to free this much capacity for an entry.

    A worker's capacity is freed once in the average time of a run, and the entries that
    are linked to it get equal shares.
    """
    if total_cpu <= 0:
        return math.inf
    return need_cpu * run_ms * max(1, sharing_entries) / total_cpu
