"""Tests of the soak: its checks, and a short run of the real programs."""

from __future__ import annotations

import pytest
from bench.soak import Request
from bench.soak import SoakPlan
from bench.soak import WorkerRun
from bench.soak import check
from bench.soak import play

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"
DONE = WorkerRun(TASK, 1, 100, 200, "done")


def request(*statuses: int, state: str = "", answered_ms: int = 300) -> Request:
    return Request(JOB, 1, statuses, state, answered_ms)


@pytest.mark.parametrize(
    ("requests", "runs", "broken"),
    [
        ([request(200, state="completed")], [DONE], 0),
        ([request(503)], [], 0),
        ([request(0, 503)], [DONE], 0),
        ([request(200, state="failed")], [], 0),
        ([], [DONE, DONE._replace(attempt=2, started_ms=200, ended_ms=250)], 0),
        # Planted defects, one for each promise.
        ([request(200, state="completed")], [], 1),
        ([request(200, state="completed")], [DONE._replace(how="lapsed")], 1),
        ([request(200, state="completed", answered_ms=150)], [DONE], 1),
        ([request(503)], [DONE], 1),
        ([request(-1, state="hung")], [], 1),
        ([], [DONE, DONE._replace(attempt=2, started_ms=199)], 1),
    ],
)
def test_broken_promises_are_found(
    requests: list[Request], runs: list[WorkerRun], broken: int
) -> None:
    assert len(check(requests, runs)) == broken


@pytest.mark.parametrize("seed", [1])
def test_programs_keep_their_promises_under_faults(seed: int) -> None:
    broken, _ = play(SoakPlan(seed))
    assert broken == []
