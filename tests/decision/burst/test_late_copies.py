"""Tests of copies of a request that arrive seconds after its answer, at any entry."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.common_events import Drain
from sardineferry.decision.common_events import LinkDown
from sardineferry.messages.burst import JobCancelled
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import OtherRuns
from sardineferry.messages.burst import RunEnded
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import route
from tests.decision.burst.drive import sent
from tests.decision.burst.drive import submit
from tests.decision.burst.joined import WARM_UP_MS
from tests.decision.burst.joined import JoinedCores

RUN_MS = 2_000
RETRANSMIT_MS = 1_300
# By then a run has been reported to all entries: it should last, so that takes an order
# and a report.
REPORTED_MS = 5
# A worker has then ended a run whose stop was ordered when it was reported.
STOPPED_MS = REPORTED_MS + 50
# How long a run whose agent is silent may count as going on: the bound for lost agents,
# and twice the time after which a run is reported.
KEPT_MS = 1_266 + 2 * 200
# Orders to start runs are not late by more than a tick.
AT_ONCE_MS = 20
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


def make_fleet(entries: str = "efg", run_ms: int = RUN_MS) -> JoinedCores:
    """Return entries and two agents that have linked to all of them."""
    joined = JoinedCores(entries, route())
    joined.add_agent("a", TOTAL, run_ms)
    joined.add_agent("b", TOTAL, run_ms)
    joined.advance_time(WARM_UP_MS)
    return joined


def lose_answer(joined: JoinedCores, end: str) -> None:
    """Let the first submission, at ``e``, end so that its caller got no answer."""
    submitted = submit(1, JOB)
    if end == "forgotten":
        joined.handle("e", submitted)
        joined.advance_time(RUN_MS + 100)
        core = joined.cores["e"]
        assert isinstance(core, BurstEntryCore)
        core.state.ended_jobs.clear()
    elif end == "completed":
        joined.handle("e", submitted)
        joined.advance_time(RUN_MS + 100)
    elif end == "caller left":
        joined.handle("e", submitted)
        joined.advance_time(500)
        joined.handle("e", CallerLeft(1))
    elif end == "killed":
        joined.handle("e", submitted)
        joined.advance_time(500)
        joined.kill("e")
    elif end == "failed":
        joined.handle("e", submitted)
        joined.advance_time(100)
        for _ in range(route().attempts):
            for worker in joined.workers.values():
                for run in list(worker.run_start_ms):
                    worker.end(run, "failed")
            joined.advance_time(100)
        assert joined.replies_to(1) == [ReplyKind.FAILED]


@pytest.mark.parametrize(
    "end",
    ["completed", "failed", "caller left", "killed", "forgotten", "never submitted"],
)
@pytest.mark.parametrize(
    "place",
    ["the same entry", "a third entry", "restarted", "restarted without configuration"],
)
def test_late_copy_at_any_entry_never_meets_the_runs_of_the_second_submission(
    end: str, place: str
) -> None:
    """Guards against an entry starting a job that it doesn't know beside its runs."""
    joined = make_fleet()
    lose_answer(joined, end)
    if place.startswith("restarted") and "e" in joined.cores:
        joined.kill("e")
    joined.advance_time(RETRANSMIT_MS)
    if "e" not in joined.cores:
        joined.restart_entry("e")
        if place != "restarted without configuration":
            joined.handle("e", ConfigurationRead(b"1"))
    joined.handle("f", submit(2, JOB))
    joined.advance_time(LATE_COPY_MS - RETRANSMIT_MS)
    joined.handle("g" if place == "a third entry" else "e", submit(3, JOB))
    joined.advance_time(100)
    if place == "restarted without configuration":
        joined.handle("e", ConfigurationRead(b"1"))
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]
    known = place == "the same entry" and end == "failed"
    expected = ReplyKind.FAILED if known else ReplyKind.COMPLETED
    assert joined.replies_to(3) == [expected]


@pytest.mark.parametrize("entry", "fg")
def test_held_copy_is_answered_by_the_runs_of_the_other_entry(entry: str) -> None:
    """Guards against running a job again that is done elsewhere meanwhile."""
    joined = make_fleet()
    joined.handle("e", submit(1, JOB))
    joined.advance_time(REPORTED_MS)
    joined.handle(entry, submit(2, JOB))
    joined.advance_time(RUN_MS)
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]
    assert len(joined.runs()) == JOB.steps[0].tasks


@pytest.mark.parametrize("link", [("a", "f"), ("b", "f")])
def test_held_copy_stays_held_while_a_link_is_replaced(link: tuple[str, str]) -> None:
    """Guards against forgetting reported runs with the link that told of them."""
    joined = make_fleet()
    joined.handle("e", submit(1, JOB))
    joined.advance_time(REPORTED_MS)
    joined.handle("f", submit(2, JOB))
    joined.break_link(*link)
    joined.advance_time(100)
    joined.report_break("f", link[0])
    joined.advance_time(300)
    joined.open_link(*link)
    joined.advance_time(RUN_MS)
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]
    assert len(joined.runs()) == JOB.steps[0].tasks


@pytest.mark.parametrize("end", ["killed", "caller left", "restarted"])
def test_runs_of_a_lost_submission_do_not_delay_the_next_one(end: str) -> None:
    """Guards against holding a job whose caller is owed its run."""
    joined = make_fleet()
    joined.handle("e", submit(1, JOB))
    joined.advance_time(REPORTED_MS)
    if end == "caller left":
        joined.handle("e", CallerLeft(1))
    else:
        joined.kill("e")
    if end == "restarted":
        joined.advance_time(100)
        joined.restart_entry("e")
        joined.handle("e", ConfigurationRead(b"1"))
    joined.advance_time(RETRANSMIT_MS)
    submitted_ms = joined.now_ms
    joined.handle("e" if end == "restarted" else "f", submit(2, JOB))
    joined.advance_time(AT_ONCE_MS)
    later = [run for run in joined.runs() if run.start_ms >= submitted_ms]
    assert [run.run.task for run in later] == [ref(0).task, ref(1).task]
    assert joined.simultaneous_runs() == []


@pytest.mark.parametrize("is_restarted", [False, True])
def test_copy_is_held_no_longer_than_lost_runs_can_last(is_restarted: bool) -> None:
    """Guards against holding a job for good whose runs were lost with their agent."""
    joined = make_fleet(run_ms=3 * RUN_MS)
    joined.handle("e", submit(1, JOB))
    joined.advance_time(REPORTED_MS)
    agent = joined.runs()[0].agent
    joined.kill(agent)
    joined.kill("e")
    joined.workers[agent].crash()
    killed_ms = joined.now_ms
    if is_restarted:
        joined.advance_time(200)
        joined.restart_agent(agent)
        joined.workers[agent].restart()
        joined.workers[agent].report()
    joined.advance_time(RETRANSMIT_MS - (joined.now_ms - killed_ms))
    joined.handle("f", submit(2, JOB))
    joined.advance_time(KEPT_MS + 100 - RETRANSMIT_MS)
    later = [run for run in joined.runs() if run.start_ms > killed_ms]
    assert [run.run.task for run in later] == [ref(0).task, ref(1).task]


def test_copy_is_released_although_a_restarted_agent_never_accepts_orders() -> None:
    """Guards against holding a job for good whose agent came back with no worker."""
    joined = make_fleet(run_ms=3 * RUN_MS)
    joined.handle("e", submit(1, JOB))
    joined.advance_time(REPORTED_MS)
    agent = joined.runs()[0].agent
    joined.kill("e")
    joined.kill(agent)
    joined.workers[agent].crash()
    joined.advance_time(10)
    joined.restart_agent(agent)
    restarted_ms = joined.now_ms
    joined.advance_time(100)
    joined.handle("f", submit(2, JOB))
    joined.advance_time(RETRANSMIT_MS)
    later = [run for run in joined.runs() if run.start_ms > restarted_ms]
    assert [run.run.task for run in later] == [ref(0).task, ref(1).task]


def test_two_entries_that_order_at_once_soon_agree_on_one() -> None:
    """Guards against both runs going on to their end; some milliseconds remain."""
    joined = make_fleet("ef")
    # Each knows one agent when it orders.
    for link in (("a", "f"), ("b", "e")):
        joined.break_link(*link)
        joined.report_break(link[1], link[0])
    joined.handle("e", submit(1, JOB))
    joined.handle("f", submit(2, JOB))
    for link in (("a", "f"), ("b", "e")):
        joined.open_link(*link)
    joined.advance_time(2 * RUN_MS)
    met = joined.simultaneous_runs()
    assert all(second.end_ms is not None for _, second in met)
    overlaps = [
        min(first.end_ms or 0, second.end_ms or 0) - second.start_ms
        for first, second in met
    ]
    assert 0 < max(overlaps) <= STOPPED_MS
    assert joined.replies_to(1) == [ReplyKind.COMPLETED]
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]
    lasted_ms = [(run.end_ms or 0) - run.start_ms for run in joined.runs()]
    assert lasted_ms.count(RUN_MS) == JOB.steps[0].tasks


def test_job_that_waits_for_room_is_not_started_beside_its_runs_elsewhere() -> None:
    """Guards against an entry that looks for other runs on arrival only."""
    joined = JoinedCores("ef", route(goal_ms=60, slack_factor=2.0))
    joined.add_agent("a", NEED, RUN_MS)
    joined.advance_time(WARM_UP_MS)
    joined.handle("f", submit(1, job(9, estimate_ms=RUN_MS)))
    joined.advance_time(10)
    joined.handle("e", submit(2, job(estimate_ms=RUN_MS)))
    joined.break_link("a", "e")
    joined.add_agent("b", NEED, RUN_MS)
    joined.break_link("b", "e")
    joined.handle("f", submit(3, job(estimate_ms=RUN_MS)))
    joined.advance_time(REPORTED_MS)
    joined.open_link("b", "e")
    joined.add_agent("c", TOTAL, RUN_MS)
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
    assert joined.replies_to(2) == [ReplyKind.COMPLETED]


@pytest.mark.parametrize(
    ("state", "replies"),
    [
        ("draining", [ReplyKind.NO_ANSWER]),
        ("no agents", [ReplyKind.NO_ANSWER]),
        # It gets the configuration from the agents, and holds the job.
        ("without configuration", []),
    ],
)
def test_copy_of_a_job_that_runs_elsewhere_is_never_said_to_be_not_run(
    state: str, replies: list[ReplyKind]
) -> None:
    """Guards against a 503 for a job that runs at another entry."""
    joined = make_fleet(run_ms=4 * RUN_MS)
    submitted = job(tasks=2, estimate_ms=4 * RUN_MS)
    joined.handle("e", submit(1, submitted))
    joined.advance_time(REPORTED_MS)
    if state == "without configuration":
        joined.kill("f")
        joined.restart_entry("f")
        joined.advance_time(100)
    if state == "draining":
        joined.handle("f", Drain("SIGTERM"))
    if state == "no agents":
        for agent in "ab":
            joined.break_link(agent, "f")
            joined.report_break("f", agent)
    joined.handle("f", submit(2, submitted))
    joined.advance_time(1_000)
    assert joined.replies_to(2) == replies


@pytest.mark.parametrize("cancelled_after_ms", [50, 500])
@pytest.mark.parametrize("place", ["held", "late", "restarted", "lost link"])
def test_copy_of_a_job_that_was_cancelled_at_another_entry_is_not_run(
    place: str, cancelled_after_ms: int
) -> None:
    """Guards against review/2 at another entry than that which cancelled the job."""
    joined = make_fleet("ef")
    submitted = submit(1, JOB)
    joined.handle("e", submitted)
    joined.advance_time(cancelled_after_ms)
    if place == "held":
        joined.handle("f", submit(2, JOB))
    if place == "lost link":
        joined.break_link("a", "f")
        joined.report_break("f", "a")
    joined.handle("e", CancelJob(3, submitted.host, submitted.path))
    cancelled_ms = joined.now_ms
    joined.advance_time(100)
    if place == "restarted":
        joined.kill("f")
        joined.restart_entry("f")
        joined.handle("f", ConfigurationRead(b"1"))
    joined.advance_time(LATE_COPY_MS)
    if place != "held":
        joined.handle("f", submit(2, JOB))
    joined.advance_time(RUN_MS)
    assert joined.replies_to(2) == [ReplyKind.CANCELLED]
    assert [run for run in joined.runs() if run.start_ms > cancelled_ms] == []
    assert all(run.end_ms is not None for run in joined.runs())


def test_cancelling_at_another_entry_stops_the_job() -> None:
    """Guards against review/3: the retry of a DELETE that reaches another entry."""
    joined = make_fleet("ef")
    submitted = submit(1, JOB)
    joined.handle("e", submitted)
    joined.advance_time(REPORTED_MS)
    joined.handle("f", CancelJob(2, submitted.host, submitted.path))
    joined.advance_time(STOPPED_MS)
    assert joined.replies_to(1) == [ReplyKind.CANCELLED]
    assert joined.replies_to(2) == [ReplyKind.CANCELLED]
    assert all(run.end_ms is not None for run in joined.runs())
    joined.handle("f", submit(3, JOB))
    assert joined.replies_to(3) == [ReplyKind.CANCELLED]


@pytest.mark.parametrize(
    ("runs_elsewhere", "reply"),
    [(True, ReplyKind.CANCELLED), (False, ReplyKind.NO_JOB)],
)
def test_cancelling_a_job_that_has_ended_here_is_passed_on(
    runs_elsewhere: bool, reply: ReplyKind
) -> None:
    """Guards against copies that run at entries which don't know that it has ended."""
    entry = EntryDriver()
    end_job(entry, "completed")
    submitted = submit(2, job())
    if runs_elsewhere:
        running = JobTasks(submitted.job.job_id, "f", (0,))
        entry.handle(OtherRuns((running,)), "a")
    entry.effects.clear()
    entry.handle(CancelJob(3, submitted.host, submitted.path))
    assert replies_to(entry, 3) == [reply]
    assert sent(entry.effects, JobCancelled)
    entry.handle(submit(4, job()))
    assert replies_to(entry, 4) == [ReplyKind.COMPLETED]


def test_copies_that_arrive_at_two_entries_at_once_never_meet() -> None:
    """Listed as open: neither entry can have heard of the other's run."""
    joined = make_fleet("ef")
    joined.break_link("a", "f")
    joined.report_break("f", "a")
    joined.handle("f", submit(2, JOB))
    joined.open_link("a", "f")
    joined.break_link("b", "e")
    joined.report_break("e", "b")
    joined.handle("e", submit(1, JOB))
    joined.open_link("b", "e")
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []


@pytest.mark.parametrize("is_restarted", [True, False])
def test_copy_at_an_entry_without_a_link_to_the_agent_never_meets_its_run(
    is_restarted: bool,
) -> None:
    """Listed as open: nobody has told the entry of the run.

    It has just started again, or the agent is not linked to it in a large deployment.
    """
    joined = make_fleet("ef")
    joined.break_link("b", "e")
    joined.report_break("e", "b")
    joined.handle("e", submit(1, JOB))
    if is_restarted:
        joined.kill("f")
        joined.start_entry("f", "again")
        joined.handle("f", ConfigurationRead(b"1"))
    else:
        joined.break_link("a", "f")
        joined.report_break("f", "a")
    joined.open_link("b", "f")
    joined.advance_time(500)
    joined.handle("f", submit(2, JOB))
    joined.advance_time(2 * RUN_MS)
    assert joined.simultaneous_runs() == []
