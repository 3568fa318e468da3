"""Tests of the estimate whether a job is late on a worker."""

from __future__ import annotations

import math

import pytest

from sardineferry.decision.burst.worker_choice import JobTimes
from sardineferry.decision.burst.worker_choice import expected_wait_ms
from sardineferry.decision.burst.worker_choice import max_slowdown
from sardineferry.decision.burst.worker_choice import max_wait_ms


@pytest.mark.parametrize(
    ("work_ms", "waited_ms", "limit"),
    [(100, 0, 2.2), (400, 0, 1.75), (400, 60, 1.6), (100, 400, 0.0), (0, 0, math.inf)],
)
def test_slowdown_up_to_which_a_job_is_in_time(
    work_ms: float, waited_ms: float, limit: float
) -> None:
    """Guards against jobs that start on workers where they are late by the estimate."""
    times = JobTimes(work_ms, 1.6, 60.0)
    assert max_slowdown(times, waited_ms) == pytest.approx(limit)


@pytest.mark.parametrize("slowdown", [0.6, 1.0, 1.6, 1.7])
def test_wait_is_bounded_by_what_the_worker_can_catch_up(slowdown: float) -> None:
    times = JobTimes(400, 1.6, 61.6)
    wait_ms = max_wait_ms(times, slowdown)
    assert max_slowdown(times, wait_ms) == pytest.approx(slowdown)


@pytest.mark.parametrize(
    ("need", "total", "wait_ms"),
    [(10, 1_000, 4.0), (1_000, 1_000, 400.0), (1, 0, 1e999)],
)
def test_full_workers_free_their_capacity_once_a_run(
    need: int, total: int, wait_ms: float
) -> None:
    assert expected_wait_ms(need, total, 100.0, 4) == wait_ms
