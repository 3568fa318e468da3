"""Tests the estimate of how probable it is that a job is late on a worker."""

from __future__ import annotations

import math
import random

import pytest

from sardineferry.decision.burst.worker_choice import LIKELY_LATE
from sardineferry.decision.burst.worker_choice import JobTimes
from sardineferry.decision.burst.worker_choice import expected_wait_ms
from sardineferry.decision.burst.worker_choice import lateness_class
from sardineferry.decision.burst.worker_choice import max_wait_ms
from sardineferry.decision.burst.worker_choice import slowdown_limits
from sardineferry.decision.burst.worker_choice.lateness import CLASS_BOUNDS
from sardineferry.decision.burst.worker_choice.lateness import ESTIMATE_SIGMA
from sardineferry.decision.burst.worker_choice.lateness import SLOWDOWN_SIGMA


def share_late(times: JobTimes, slowdown: float, waited_ms: float) -> float:
    rng = random.Random(1)
    late = 0
    for _ in range(4_000):
        work_ms = times.longest_ms * math.exp(rng.gauss(0, ESTIMATE_SIGMA))
        run_ms = work_ms * slowdown * math.exp(rng.gauss(0, SLOWDOWN_SIGMA))
        late += waited_ms + run_ms > times.slack_factor * work_ms + times.spare_ms
    return late / 4_000


@pytest.mark.parametrize("waited_ms", [0.0, 30.0, 90.0])
@pytest.mark.parametrize(("tasks", "estimate_ms"), [(8, 110), (2, 400), (4, 1_800)])
def test_limits_bound_the_share_of_late_jobs(
    tasks: int, estimate_ms: int, waited_ms: float
) -> None:
    """Guards against a limit that takes only one of both errors into account."""
    times = JobTimes.of_tasks(tasks, estimate_ms, 1.6, 61.6)
    limits = slowdown_limits(times, waited_ms)
    assert list(limits) == sorted(limits)
    for limit, bound in zip(limits[:3], CLASS_BOUNDS, strict=False):
        if limit > 0:
            assert share_late(times, limit, waited_ms) == pytest.approx(bound, abs=0.08)


@pytest.mark.parametrize(
    ("tasks", "estimate_ms", "slowdown", "measured"),
    [
        (8, 110, 1.4, 0.05),
        (8, 110, 2.2, 0.44),
        (8, 110, 2.0, 0.48),
        (2, 400, 1.4, 0.04),
        (2, 400, 1.8, 0.33),
        (2, 400, 2.0, 0.67),
    ],
)
def test_classes_agree_with_the_measured_shares(
    tasks: int, estimate_ms: int, slowdown: float, measured: float
) -> None:
    """Replays the measured shares of late jobs by the slowdown of their worker.

    A job of eight short tasks was accepted by its estimate up to a slowdown of 2.15.
    """
    times = JobTimes.of_tasks(tasks, estimate_ms, 1.6, 61.6)
    found = lateness_class(slowdown_limits(times, 0), slowdown)
    assert (found >= LIKELY_LATE) is (measured > CLASS_BOUNDS[LIKELY_LATE - 1])


def test_job_that_can_not_catch_up_is_late_on_all_workers() -> None:
    times = JobTimes.of_tasks(1, 100, 1.6, 61.6)
    assert lateness_class(slowdown_limits(times, 400), 0.1) == len(CLASS_BOUNDS)


@pytest.mark.parametrize("slowdown", [0.6, 1.0, 1.6, 1.7])
def test_wait_is_bounded_by_what_the_worker_can_catch_up(slowdown: float) -> None:
    times = JobTimes.of_tasks(1, 400, 1.6, 61.6)
    wait_ms = max_wait_ms(times, slowdown)
    assert slowdown_limits(times, wait_ms)[2] == pytest.approx(slowdown)


def test_wide_job_may_not_wait_for_longer_than_a_narrow_one() -> None:
    """Jobs are placed by latest start: wide ones would be placed after narrow ones."""
    waits = [
        max_wait_ms(JobTimes.of_tasks(tasks, 400, 1.6, 61.6), 1.0) for tasks in (8, 1)
    ]
    assert waits == sorted(waits)


@pytest.mark.parametrize(
    ("need", "total", "wait_ms"),
    [(10, 1_000, 4.0), (1_000, 1_000, 400.0), (1, 0, 1e999)],
)
def test_full_workers_free_their_capacity_once_a_run(
    need: int, total: int, wait_ms: float
) -> None:
    assert expected_wait_ms(need, total, 100.0, 4) == wait_ms
