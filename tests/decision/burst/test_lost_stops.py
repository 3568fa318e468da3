"""Tests that a run ends although the order to stop it was lost with its link."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from bench.virtual.burst_faults import CallerReset
from bench.virtual.burst_faults import LinkReset
from bench.virtual.burst_load import DEFAULT_HETEROGENEITY
from bench.virtual.burst_load import SLOWEST_WORKERS
from bench.virtual.burst_load import BurstSimulation
from bench.virtual.burst_load import DeploymentSize
from bench.virtual.burst_load import find_simultaneous_runs
from bench.virtual.burst_load import run_simulation

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ReplyKind
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import job
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import route
from tests.decision.burst.drive import submit
from tests.decision.burst.joined import WARM_UP_MS
from tests.decision.burst.joined import JoinedCores

if TYPE_CHECKING:
    from bench.virtual.burst_load import Fault

RUN_MS = 3_000
# Times since the job was submitted. An entry gives up a job with a task that
# finds no room after three goals, 1,080 ms.
BREAK_MS = 1_050
JOB_END_MS = 1_100
LATE_REPORT_MS = 1_150
RETURN_MS = 1_250
GOAL_ROUTE = route(goal_ms=60, slack_factor=0.1)
# The time by which a run that its entry no longer wants must have been stopped.
STOP_LIMIT_MS = timing.SILENCE_LIMIT_MS + timing.BUSY_HEARTBEAT_INTERVAL_MS
# Few jobs, so that one that is submitted again starts at once.
SMALL = DeploymentSize(utilization=0.15)
MEDIUM = DeploymentSize(entries=6, workers=24, utilization=0.3)

# How a job ends, with the number of its tasks; its worker has room for one.
JOB_ENDS = pytest.mark.parametrize(
    ("job_end", "tasks"),
    [("caller left", 1), ("cancelled", 1), ("no answer", 2)],
    ids=["caller-left", "cancelled", "no-answer"],
)
# When the entry learns that the link broke: before its job ends, after it, or only
# as the new link replaces the old one.
BREAK_REPORTS = pytest.mark.parametrize(
    "reported_ms",
    [BREAK_MS, LATE_REPORT_MS, None],
    ids=["break-known", "break-known-late", "break-unknown"],
)


def run_until_job_ends(
    job_end: str, tasks: int, reported_ms: int | None, *, break_link: bool = True
) -> JoinedCores:
    """Start a run at ``a``, end its job and open the link between them again."""
    joined = JoinedCores("ef", GOAL_ROUTE)
    joined.add_agent("a", NEED, RUN_MS)
    joined.advance_time(WARM_UP_MS)
    submitted = submit(1, job(tasks=tasks, estimate_ms=RUN_MS))
    joined.handle("e", submitted)
    for elapsed_ms in range(RETURN_MS):
        if break_link and elapsed_ms == BREAK_MS:
            joined.break_link("a", "e")
            joined.report_break("a", "e")
        if break_link and elapsed_ms == reported_ms:
            joined.report_break("e", "a")
        if elapsed_ms == JOB_END_MS and job_end == "caller left":
            joined.handle("e", CallerLeft(1))
        if elapsed_ms == JOB_END_MS and job_end == "cancelled":
            joined.handle("e", CancelJob(2, submitted.host, submitted.path))
        joined.advance_time(1)
    if break_link:
        joined.open_link("a", "e")
    if job_end == "no answer":
        assert [reply.kind for reply in joined.replies] == [ReplyKind.NO_ANSWER]
    assert [run.run for run in joined.runs()] == [ref()]
    return joined


@JOB_ENDS
@BREAK_REPORTS
def test_run_of_a_cancelled_job_ends_although_its_stop_was_lost(
    job_end: str, tasks: int, reported_ms: int | None
) -> None:
    joined = run_until_job_ends(job_end, tasks, reported_ms)
    joined.advance_time(STOP_LIMIT_MS)
    assert [run for _, run in joined.workers["a"].stops] == [ref()]


@JOB_ENDS
@BREAK_REPORTS
@pytest.mark.parametrize("entry", ["e", "f"], ids=["same-entry", "other-entry"])
def test_job_submitted_again_never_meets_its_run_whose_stop_was_lost(
    job_end: str, tasks: int, reported_ms: int | None, entry: str
) -> None:
    joined = run_until_job_ends(job_end, tasks, reported_ms)
    joined.add_agent("b", TOTAL, RUN_MS)
    joined.advance_time(JOB_END_MS + timing.RESUBMIT_DELAY_MS - RETURN_MS)
    submitted_again_ms = joined.now_ms
    joined.handle(entry, submit(3, job(tasks=tasks, estimate_ms=RUN_MS)))
    joined.advance_time(RUN_MS)
    runs_again = joined.runs()[-1].start_ms >= submitted_again_ms
    # An acknowledged cancelling is final, at all entries.
    is_cancelled = job_end == "cancelled"
    assert runs_again is not is_cancelled
    assert not is_cancelled or joined.replies_to(3) == [ReplyKind.CANCELLED]
    assert joined.simultaneous_runs() == []


@JOB_ENDS
def test_run_of_a_cancelled_job_is_stopped_on_a_link_that_holds(
    job_end: str, tasks: int
) -> None:
    joined = run_until_job_ends(job_end, tasks, None, break_link=False)
    assert [run for _, run in joined.workers["a"].stops] == [ref()]


def test_run_of_a_job_that_is_wanted_outlives_a_break_of_its_link() -> None:
    joined = run_until_job_ends("", 1, BREAK_MS)
    joined.advance_time(RUN_MS)
    assert [reply.kind for reply in joined.replies] == [ReplyKind.COMPLETED]
    assert joined.workers["a"].stops == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("size", [SMALL, MEDIUM], ids=["small", "medium"])
@pytest.mark.parametrize(
    ("callers_break_after_ms", "max_report_delay_ms"),
    [(-2, 2), (0, 2), (5, 2), (0, 50)],
    ids=["callers-first", "at-once", "links-first", "half-open"],
)
def test_resets_of_all_connections_never_cause_two_runs_of_a_task(
    callers_break_after_ms: int,
    max_report_delay_ms: int,
    size: DeploymentSize,
    seed: int,
) -> None:
    simulation = BurstSimulation(size, DEFAULT_HETEROGENEITY, seed, SLOWEST_WORKERS)
    faults: list[Fault] = []
    for start_ms in range(1_000, 7_000, 1_000):
        faults.append(LinkReset(start_ms, max_entry_delay_ms=max_report_delay_ms))
        faults.append(CallerReset(start_ms + callers_break_after_ms))
    run_simulation(simulation, (), (), 7_000, tuple(faults))
    assert find_simultaneous_runs(simulation) == []
