"""Tests how many tasks a worker gets after it was lost."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.worker_choice import WorkerTrust
from sardineferry.decision.burst.worker_choice.trust import TRUSTED_TASKS
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import WorkerProfile
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import logged
from tests.decision.burst.drive import submit

LARGE = Resources(20_000, 20_000)


@pytest.mark.parametrize(
    ("losses", "now_ms", "distrusted"),
    [
        ([(1, 0)], 100, False),
        ([(1, 0), (2, 2_000)], 2_000, True),
        # The leases lapse, and the worker is back seconds later.
        ([(1, 0), (1, 3_000)], 3_000, False),
        # Its start time is not known, or its report came first.
        ([(0, 0), (0, 300)], 300, False),
        ([(1, 0), (2, 2_000)], 12_000, False),
        ([(1, 0), (2, 20_000)], 20_000, False),
    ],
    ids=["first loss", "second", "same incarnation", "same time", "old", "far apart"],
)
def test_worker_is_distrusted_after_several_losses(
    losses: list[tuple[int, int]], now_ms: int, distrusted: bool
) -> None:
    trust = WorkerTrust()
    for born_ms, at_ms in losses:
        trust.record_loss(born_ms, at_ms)
    assert trust.is_distrusted(now_ms) is distrusted


def test_each_run_that_ends_well_adds_a_task_until_the_next_loss() -> None:
    trust = WorkerTrust()
    trust.record_loss(1, 0)
    trust.record_loss(2, 2_000)
    for _ in range(TRUSTED_TASKS):
        trust.record_success(2_500)
    assert not trust.is_distrusted(2_500)
    trust.record_loss(3, 4_000)
    assert (trust.is_distrusted(4_000), trust.tasks) == (True, 1)


def flap(entry: EntryDriver, name: str, times: int) -> None:
    """Let a worker be lost and come back, each time as a new incarnation."""
    for number in range(times):
        entry.advance_time(2_000, "ab")
        profile = WorkerProfile("desk", LARGE, ("a",), 2 + number, False)
        entry.handle(profile, name)


@pytest.mark.parametrize(
    ("flapping", "times", "tasks"),
    [("a", 1, 12), ("a", 2, 1), ("ab", 2, 12)],
    ids=["first loss: used as before", "several: few tasks", "all: treated as trusted"],
)
def test_worker_that_flaps_gets_few_tasks(
    flapping: str, times: int, tasks: int
) -> None:
    """Replays a worker that goes down and up every second.

    It was given as many tasks after each start as fitted, and lost them all.
    """
    entry = EntryDriver("ab", LARGE)
    for name in flapping:
        flap(entry, name, times)
    entry.report_capacity("b", Resources(0, 1_000), 99)
    entry.handle(submit(1, job(1, tasks=12)))
    assert sum(len(order.runs) for to, order in entry.orders() if to == "a") == tasks
    assert len(logged(entry.effects, "worker distrusted after several losses")) == len(
        flapping
    ) * (times > 1)


def test_distrusted_worker_gets_more_tasks_after_runs_that_end_well() -> None:
    entry = EntryDriver("ab", LARGE)
    flap(entry, "a", 2)
    entry.report_capacity("b", Resources(0, 1_000), 99)
    entry.handle(submit(1, job(1, tasks=12)))
    first = entry.orders()[0][1].runs[0]
    entry.handle(RunEnded(first, "done", 100, ""), "a")
    entry.report_capacity("a", LARGE, 99)
    assert [len(order.runs) for to, order in entry.orders() if to == "a"] == [1, 2]


@pytest.mark.parametrize(
    ("reason", "distrusted"),
    [("worker restarted", True), ("worker silent", True), ("entry lost", False)],
)
def test_lost_runs_tell_of_a_lost_worker(reason: str, distrusted: bool) -> None:
    entry = EntryDriver("ab", LARGE)
    flap(entry, "a", 1)
    entry.report_capacity("b", Resources(0, 1_000), 99)
    entry.handle(submit(1, job(1, tasks=1)))
    entry.now_ms += 1_000
    run = entry.orders()[0][1].runs[0]
    entry.handle(RunEnded(run, "lost", 100, reason), "a")
    assert entry.state.agents["a"].trust.is_distrusted(entry.now_ms) is distrusted
