"""Tests the limits on jobs with very many tasks, and on runs that need next to nothing.

Load pattern: callers that are not under our control submit small, valid requests whose
jobs no worker could run in time, or whose tasks' resources bound nothing.
"""

from __future__ import annotations

import math

import pytest

from sardineferry.decision.burst import run_limits
from sardineferry.decision.burst.agent_runs import MAX_STOPS_IN_FLIGHT
from sardineferry.decision.burst.requests import BurstJob
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopAnswered
from sardineferry.decision.burst.worker import StopRun
from sardineferry.messages.burst import ENDED_REFUSED
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import OtherRuns
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import RunRef
from sardineferry.messages.burst import StopRuns
from sardineferry.messages.burst import WorkerRoom
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import sent
from tests.decision.burst.drive import submit

LARGE = Resources(10_000_000, 1_000_000, 0)
TINY = Resources(1, 0, 0)


def refusals(effects: list[object]) -> list[tuple[ReplyKind, str, int]]:
    return [
        (reply.kind, reply.reason, reply.retry_after_ms)
        for reply in sent(effects, BurstReply)
    ]


def tiny_job(number: int, tasks: int, estimate_ms: int = 1) -> BurstJob:
    return job(number, tasks=tasks, estimate_ms=estimate_ms, need=TINY)


@pytest.mark.parametrize(
    ("tasks", "estimate_ms", "task_limit", "reason"),
    [
        (5_000, 1, 100_000, ""),
        (5_001, 1, 100_000, "5001 tasks exceed the limit of 5000"),
        (2**31 - 1, 1, 100_000, "2147483647 tasks exceed the limit of 5000"),
        (1_000, 1, 4_000, ""),
        (1_001, 1, 4_000, "no memory for 1001 tasks beside 0 of 4000"),
        # The two workers can run 8 tasks at once; a goal is 1,000 ms and 1.5 estimates.
        (99, 1_000, 100_000, ""),
        (
            400,
            1_000,
            100_000,
            "400 tasks take 24500 ms at least, 7500 ms are left",
        ),
    ],
)
def test_job_that_cannot_be_served_is_refused_on_arrival(
    tasks: int, estimate_ms: int, task_limit: int, reason: str
) -> None:
    need = TINY if estimate_ms == 1 else NEED
    entry = EntryDriver()
    entry.state.task_limit = task_limit
    effects = entry.handle(
        submit(1, job(tasks=tasks, estimate_ms=estimate_ms, need=need))
    )
    assert [refused[:2] for refused in refusals(effects)] == (
        [(ReplyKind.NOT_RUN, reason)] if reason else []
    )
    assert entry.state.task_count == (0 if reason else tasks)


def test_jobs_with_few_tasks_find_space_beside_wide_ones() -> None:
    entry = EntryDriver("")
    entry.state.task_limit = 4_000
    for number in range(1, 50):
        entry.handle(submit(number, tiny_job(number, 1_000)))
    assert entry.state.task_count < 4_000
    free = entry.state.task_limit - entry.state.task_count
    assert run_limits.fits_task_budget(32, entry.state.task_count, 4_000), free


def test_tasks_of_ended_jobs_are_not_counted() -> None:
    entry = EntryDriver()
    entry.handle(submit(1, tiny_job(1, 200)))
    wide = entry.state.jobs[tiny_job(1, 1).job_id]
    entry.handle(CallerLeft(1))
    assert (entry.state.task_count, wide.tasks) == (0, [])


def test_deadline_of_the_caller_bounds_what_a_wide_job_may_take() -> None:
    """Guards against a job that is served although its caller has left by then."""
    entry = EntryDriver()
    submitted = submit(1, job(tasks=160, estimate_ms=100))
    effects = entry.handle(submitted._replace(deadline_ms=900))
    assert refusals(effects) == [
        (
            ReplyKind.NOT_RUN,
            "160 tasks take 950 ms at least, 900 ms are left",
            0,
        )
    ]


def test_wide_job_that_was_admitted_unseen_is_given_up() -> None:
    """Guards against a job that keeps others waiting although it must be late.

    It arrives before the workers are known.
    """
    entry = EntryDriver("")
    entry.state.started_ms = entry.now_ms
    entry.handle(submit(1, job(tasks=400, estimate_ms=1_000)))
    entry.link("a")
    effects = entry.tick(200)
    assert len(entry.orders()) == 1
    effects += entry.advance_time(1_500, "a")
    (refused,) = refusals(effects)
    assert refused[0] is ReplyKind.NO_ANSWER
    assert refused[1].startswith("396 tasks take")


def test_huge_copy_of_a_job_that_other_entries_have_run_is_refused() -> None:
    """Guards against memory for each task before their number is checked."""
    entry = EntryDriver()
    submitted = tiny_job(1, 2**31 - 1)
    done = (JobTasks(submitted.job_id, "f", (0,)),)
    entry.handle(OtherRuns((), done), "a")
    effects = entry.handle(submit(1, submitted))
    # A task of a job of this name has run.
    reason = f"{2**31 - 1} tasks exceed the limit of 5000"
    assert refusals(effects) == [(ReplyKind.NO_ANSWER, reason, 0)]


def test_orders_of_a_wide_job_leave_room_for_others() -> None:
    entry = EntryDriver("a", LARGE)
    effects = entry.handle(submit(1, tiny_job(1, 1_300)))
    effects += entry.handle(submit(2, tiny_job(2, 2)))
    wide_id, ordinary_id = tiny_job(1, 1).job_id, tiny_job(2, 1).job_id
    runs = [(order.runs[0].task[:16], len(order.runs)) for _, order in entry.orders()]
    limit = run_limits.MAX_RUNS_PER_ORDER
    assert runs == [(wide_id, limit), (ordinary_id, 2), (wide_id, limit - 2)]
    # The agent can't be ordered more until it reports that it has read these.
    entry.handle(submit(3, tiny_job(3, 2)))
    assert len(entry.orders()) == 3
    entry.handle(WorkerRoom(entry.now_ms, LARGE, True, 3, 0.0, 1), "a")
    assert entry.orders()[3][1].runs[0].task.startswith(tiny_job(3, 1).job_id)


def test_placement_goes_on_after_a_limit_without_another_event() -> None:
    names = "abcdefgh"
    entry = EntryDriver(names, LARGE)
    entry.handle(submit(1, tiny_job(1, 500)))
    assert entry.core.tick_interval_ms() == 1
    for _ in range(5):
        entry.tick(1)
    assert sum(len(order.runs) for _, order in entry.orders()) == 500
    entry.tick(1)
    assert entry.core.tick_interval_ms() > 1


def test_agent_starts_a_bounded_number_of_runs_at_once() -> None:
    agent = AgentDriver(LARGE)
    limit = run_limits.MAX_STARTING_RUNS
    runs = [ref(index) for index in range(limit + 2)]
    effects = agent.order(*runs, need=TINY)
    assert [
        (ended.run, ended.how, ended.reason) for ended in sent(effects, RunEnded)
    ] == [(run, ENDED_REFUSED, "too many runs") for run in runs[limit:]]
    assert agent.state.offered() == Resources()
    offered = run_limits.MIN_OFFERED_RUNS
    effects = [found for run in runs[: offered - 1] for found in agent.answer(run)]
    effects += agent.tick(100)
    assert {room.free for room in sent(effects, WorkerRoom)} == {Resources()}
    effects = agent.answer(runs[offered - 1])
    effects += agent.tick(100)
    assert sent(effects, WorkerRoom)[0].free == LARGE.minus(TINY.times(limit))
    for run in runs[offered:limit]:
        agent.answer(run)
    assert agent.state.startable_runs() == limit
    # Runs that have started leave room for as many others.
    effects = agent.order(*runs, need=TINY, order=2)
    assert len(sent(effects, StartRun)) == 2


def test_stops_of_many_runs_get_through_to_a_slow_worker() -> None:
    """Guards against stops that all time out while they wait for a connection.

    The agent would accept no more orders for good.
    """
    agent = AgentDriver(LARGE)
    runs = [ref(index) for index in range(150)]
    for first in range(0, len(runs), 50):
        agent.order(*runs[first : first + 50], need=TINY, order=first + 1)
        for run in runs[first : first + 50]:
            agent.answer(run)
    effects = agent.handle(StopRuns(tuple(runs)))
    waiting = [effect.run for effect in sent(effects, StopRun)]
    assert len(waiting) == MAX_STOPS_IN_FLIGHT
    stopped: set[RunRef] = set()
    for _ in range(10):
        agent.now_ms += 40
        effects = []
        for number, run in enumerate(waiting):
            is_answered = number < 20
            effects += agent.handle(
                StopAnswered(run, is_answered, fenced=False, sent_ms=agent.now_ms)
            )
            if is_answered:
                stopped.add(run)
        effects += agent.tick(20)
        waiting = [effect.run for effect in sent(effects, StopRun)]
        assert len(waiting) <= MAX_STOPS_IN_FLIGHT
    assert stopped == set(runs)


@pytest.mark.parametrize(
    ("total", "need", "spread_limit", "slots"),
    [
        (TOTAL, NEED, 0, 4),
        (TOTAL, NEED, 3, 3),
        (TOTAL, Resources(1, 0, 1), 0, 0),
        (TOTAL, Resources(), 0, math.inf),
        (TOTAL, Resources(), 2, 2),
    ],
)
def test_slots_of_a_worker(
    total: Resources, need: Resources, spread_limit: int, slots: float
) -> None:
    assert run_limits.count_slots(total, need, spread_limit) == slots


@pytest.mark.parametrize(
    ("tasks", "slots", "slowdown", "least_ms"),
    [
        (8, [4, 4], 1.0, 0.0),
        (9, [4, 4], 1.0, 50.0),
        (24, [4, 4], 0.5, 50.0),
        (24, [4, 4], 3.0, 100.0),
        (10**9, [math.inf], 1.0, 0.0),
        (1, [], 1.0, math.inf),
        (1, [0], 1.0, math.inf),
    ],
)
def test_least_time_of_a_job(
    tasks: int, slots: list[float], slowdown: float, least_ms: float
) -> None:
    assert run_limits.least_run_ms(tasks, 100, slots, slowdown) == least_ms
