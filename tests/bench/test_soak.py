"""Tests the checks of the soak test, and runs it briefly on the real programs."""

from __future__ import annotations

import pytest
from bench.soak import CancelRecord
from bench.soak import JobRecord
from bench.soak import SoakPlan
from bench.soak import WorkerRun
from bench.soak import find_broken_promises
from bench.soak import find_unasked_runs
from bench.soak import run_soak

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"
DONE = WorkerRun(TASK, 1, 100, 200, "done")


def job_record(*statuses: int, state: str = "", answered_ms: int = 300) -> JobRecord:
    return JobRecord(JOB, 1, statuses, state, answered_ms)


@pytest.mark.parametrize(
    ("records", "runs", "count"),
    [
        ([job_record(200, state="completed")], [DONE], 0),
        ([job_record(503)], [], 0),
        ([job_record(0, 503)], [DONE], 0),
        ([job_record(200, state="failed")], [], 0),
        ([], [DONE, DONE._replace(attempt=2, started_ms=200, ended_ms=250)], 0),
        # A run that ended with its worker does not overlap the next one.
        (
            [],
            [
                DONE._replace(ended_ms=150, outcome="crashed"),
                DONE._replace(attempt=2, started_ms=150, ended_ms=250, worker=1),
            ],
            0,
        ),
        # Each promise broken once.
        ([job_record(200, state="completed")], [], 1),
        ([job_record(200, state="completed")], [DONE._replace(outcome="lapsed")], 1),
        ([job_record(200, state="completed", answered_ms=150)], [DONE], 1),
        ([job_record(503)], [DONE], 1),
        ([job_record(-1, state="hung")], [], 1),
        ([], [DONE, DONE._replace(attempt=2, started_ms=199)], 1),
    ],
)
def test_broken_promises_are_found(
    records: list[JobRecord], runs: list[WorkerRun], count: int
) -> None:
    assert len(find_broken_promises(records, runs)) == count


@pytest.mark.parametrize(
    ("acknowledged_ms", "count"),
    [((200,), 0), ((), 0), ((-2_850,), 0), ((-2_851,), 1), ((200, -2_851), 1)],
)
def test_runs_long_after_a_cancellation_are_found(
    acknowledged_ms: tuple[int, ...], count: int
) -> None:
    cancelled = [CancelRecord(JOB, at_ms) for at_ms in acknowledged_ms]
    assert len(find_unasked_runs(cancelled, [DONE])) == count


@pytest.mark.parametrize(
    "plan",
    [
        pytest.param(SoakPlan(1), id="mixed"),
        # A caller's connection and a link break together, and the task outlasts the
        # caller's wait before it submits the job again.
        pytest.param(
            SoakPlan(1, seconds=3.0, faults="resets", long_tasks=1.0), id="resets"
        ),
        # Workers start again under their id, and tasks are started at them before
        # their first heartbeat: only agents with free capacity do so.
        pytest.param(
            SoakPlan(204, workers=5, callers=8, faults="crashes", long_tasks=0.4),
            id="crashes",
        ),
        pytest.param(
            SoakPlan(
                2, workers=5, callers=8, seconds=4.0, faults="errors", long_tasks=0.1
            ),
            id="errors",
        ),
        pytest.param(
            SoakPlan(1, seconds=4.0, faults="starved", long_tasks=0.3, impatience=0.2),
            id="starved",
        ),
        # Clients that misbehave, beside restarts and pauses of entries and agents.
        pytest.param(SoakPlan(1, seconds=4.0, faults="crowds"), id="crowds"),
        # Half of the answers are lost, and a copy of each answered request comes
        # seconds later: an entry ran jobs again that ran at the other one.
        pytest.param(
            SoakPlan(
                1,
                workers=4,
                seconds=4.0,
                faults="resets",
                long_tasks=1.0,
                copies=1.0,
                lost_answers=0.5,
            ),
            id="late-copies",
        ),
        # Several entries in a data centre, of which an agent is linked to one: the
        # others ran copies beside its runs, and jobs that were cancelled elsewhere.
        pytest.param(
            SoakPlan(
                1,
                entries=7,
                workers=5,
                callers=8,
                seconds=4.0,
                faults="resets",
                long_tasks=0.6,
                copies=1.0,
                lost_answers=0.5,
                cancels=0.3,
            ),
            id="unlinked-entries",
        ),
    ],
)
def test_programs_keep_their_promises_under_faults(plan: SoakPlan) -> None:
    broken_promises, _ = run_soak(plan)
    assert broken_promises == []
