"""Tests of copies of a request that arrive seconds after its answer, at any entry."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.common_events import Drain
from sardineferry.decision.common_events import LinkDown
from sardineferry.messages.burst import RunEnded
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import route
from tests.decision.burst.drive import submit
from tests.decision.burst.joined import WARM_UP_MS
from tests.decision.burst.joined import JoinedCores

RUN_MS = 2_000
RETRANSMIT_MS = 1_300
LATE_COPY_MS = 2_000
# How long an entry remembers an ended job.
RETENTION_MS = 60_000
JOB = job(tasks=2, estimate_ms=RUN_MS)

ENDS = pytest.mark.parametrize(
    ("end", "outcome"),
    [
        ("completed", ReplyKind.COMPLETED),
        ("failed", ReplyKind.FAILED),
        ("cancelled", ReplyKind.CANCELLED),
    ],
)


def end_job(entry: EntryDriver, end: str) -> None:
    """Submit a job of one task and let it end so."""
    submitted = submit(1, job())
    entry.handle(submitted)
    if end == "cancelled":
        entry.handle(CancelJob(2, submitted.host, submitted.path))
    how = {"completed": "done", "failed": "failed"}.get(end, "lost")
    for _ in range(route().attempts):
        for name in "ab":
            for run in list(entry.state.agents[name].runs):
                entry.handle(RunEnded(run, how, 10, ""), name)


def replies_to(entry: EntryDriver, token: int) -> list[ReplyKind]:
    return [
        effect.kind
        for effect in entry.effects
        if isinstance(effect, BurstReply) and effect.token == token
    ]


@ENDS
@pytest.mark.parametrize("state", ["serving", "draining", "exiting"])
def test_late_copy_at_the_entry_that_ended_the_job_gets_its_outcome(
    end: str, outcome: ReplyKind, state: str
) -> None:
    """Guards against the entry running a job again that it has answered."""
    entry = EntryDriver()
    end_job(entry, end)
    if state != "serving":
        entry.handle(Drain("SIGTERM"))
    if state == "exiting":
        entry.effects.extend(entry.core.exit_now(entry.now_ms))
    orders = len(entry.orders())
    entry.advance_time(LATE_COPY_MS, "ab")
    entry.handle(submit(3, job()))
    assert replies_to(entry, 3) == [outcome]
    assert len(entry.orders()) == orders


@pytest.mark.parametrize("end", ["caller left", "no answer"])
def test_job_whose_caller_got_no_answer_runs_again(end: str) -> None:
    """Guards against owing a caller the run of a job that nobody was answered."""
    entry = EntryDriver(agents="a")
    entry.handle(submit(1, job()))
    if end == "caller left":
        entry.handle(CallerLeft(1))
    entry.handle(LinkDown("a"))
    entry.handle(RunEnded(ref(), "lost", 10, ""), "a")
    for _ in range(60):
        entry.tick(100)
    assert replies_to(entry, 1) == [ReplyKind.NO_ANSWER] * (end == "no answer")
    entry.link("a")
    entry.handle(submit(2, job()))
    assert [run for _, order in entry.orders() for run in order.runs] == [
        ref(0, 1),
        ref(0, 2),
    ]


def test_outcome_is_forgotten_after_its_retention() -> None:
    """Guards against memory that grows with all jobs that ever ended."""
    entry = EntryDriver()
    end_job(entry, "completed")
    entry.advance_time(RETENTION_MS + 100, "ab")
    entry.handle(submit(2, job(2)))
    for name in "ab":
        for run in list(entry.state.agents[name].runs):
            entry.handle(RunEnded(run, "done", 10, ""), name)
    assert list(entry.state.ended_jobs) == [job(2).job_id]


def test_copy_of_a_completed_job_does_not_meet_its_run_at_another_entry() -> None:
    """Guards against review/1: a lost answer, a second submission and a late copy."""
    joined = JoinedCores("ef", route())
    joined.add_agent("a", TOTAL, RUN_MS)
    joined.add_agent("b", TOTAL, RUN_MS)
    joined.advance_time(WARM_UP_MS)
    joined.handle("e", submit(1, JOB))
    joined.advance_time(RUN_MS + 100)
    assert joined.replies_to(1) == [ReplyKind.COMPLETED]
    joined.advance_time(RETRANSMIT_MS)
    joined.handle("f", submit(2, JOB))
    joined.advance_time(LATE_COPY_MS - RETRANSMIT_MS)
    joined.handle("e", submit(3, JOB))
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]
    assert joined.replies_to(3) == [ReplyKind.COMPLETED]
    assert [run.run for run in joined.runs()[:2]] == [ref(0), ref(1)]
