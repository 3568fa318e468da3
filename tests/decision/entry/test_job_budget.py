"""Tests the budget of an entry for the memory of open jobs.

Load pattern: jobs with large payloads that wait. Their requests have left the budget
for unfinished input, but the payloads stay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineferry.decision import events
from sardineferry.decision.entry.jobs import estimate_bytes
from sardineferry.decision.entry.jobs import fits_job_budget
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task
from tests.decision.entry.test_core import make_core
from tests.decision.entry.test_core import sent_answers
from tests.decision.entry.test_core import submit

if TYPE_CHECKING:
    from sardineferry.decision.entry import EntryCore

KB = 1_000


def large_job(name: str, payload: str = "x" * 9 * KB, **changes: bool) -> Job:
    tasks = (Task("t", "quote", changes.pop("idempotent", True), payload),)
    return Job(name, "t", 10_000, tasks, **changes)


def full_core() -> EntryCore:
    """Return an entry whose open job leaves 30 KB, so 7,500 bytes for the next."""
    core = make_core(agents=1, job_bytes_limit=40 * KB)
    submit(core, large_job("first"))
    assert core.state.job_bytes == 10 * KB
    return core


@pytest.mark.parametrize(
    ("payload", "size"),
    [("", 1_000), ("x" * 10, 1_010), ("\u0419" * 10, 1_040)],
)
def test_size_of_a_job(payload: str, size: int) -> None:
    assert estimate_bytes(large_job("s", payload)) == size


@pytest.mark.parametrize(
    ("job_bytes", "held_bytes", "fits"),
    [(100, 0, True), (101, 0, True), (20, 20, True), (21, 20, False), (1, 97, False)],
)
def test_single_job_always_fits(job_bytes: int, held_bytes: int, fits: bool) -> None:
    assert fits_job_budget(job_bytes, held_bytes, 100) is fits


@pytest.mark.parametrize(
    ("job", "state"),
    [
        (large_job("s"), "not_run"),
        (large_job("s", resubmission=False, idempotent=False), "not_run"),
        # An earlier submission may have run at another entry.
        (large_job("s", idempotent=False), "unknown"),
    ],
    ids=["idempotent", "first-submission", "resubmission"],
)
def test_job_beyond_the_budget_is_refused_with_the_truth(job: Job, state: str) -> None:
    core = full_core()
    (answer,) = sent_answers(submit(core, job, 2))
    assert (answer.answer.state, answer.answer.retry_after_ms) == (state, 1_000)
    assert "s" not in core.state.jobs


def test_small_job_is_admitted_beside_large_ones() -> None:
    core = full_core()
    submit(core, large_job("small", "x"), 2)
    assert core.state.live_jobs["small"].admitted


def test_ended_job_keeps_no_payload() -> None:
    core = full_core()
    core.handle(events.CancelJob(3, "first"), "", 1)
    core.tick(20_000)
    ended = core.state.jobs["first"]
    assert core.state.job_bytes == 0
    assert [task.spec.payload for task in ended.tasks.values()] == [""]
    assert ended.spec.tasks == ()
