"""Tests placement near the data of a job."""

from __future__ import annotations

import math

import pytest

from sardineferry.decision.burst.requests import BurstJob
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.slowdown import LearnedSlowdown
from sardineferry.decision.burst.worker_choice import data_factor
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import WorkerProfile
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import logged
from tests.decision.burst.drive import route
from tests.decision.burst.drive import submit

FULL = Resources(0, 1_000)


@pytest.mark.parametrize(
    ("labels", "rack", "factor"),
    [
        (("k", "r1"), "r1", 1.0),
        (("k", "r2"), "r1", 3.0),
        (("r1", "r2"), "r1", 3.0),
        (("k",), "r1", 3.0),
        ((), "r1", 3.0),
        (("k", "r2"), "", 1.0),
    ],
    ids=["same", "other", "kind of that name", "no rack", "no label", "no data"],
)
def test_run_outside_the_rack_of_its_data_takes_longer(
    labels: tuple[str, ...], rack: str, factor: float
) -> None:
    assert data_factor(labels, rack, 3.0) == factor


def entry_with_racks(remote_factor: float, slowdowns: dict[str, float]) -> EntryDriver:
    """Return an entry whose worker ``a`` is in rack r1, ``b`` in r2 and so on."""
    entry = EntryDriver("".join(slowdowns))
    entry.state.remote_factor = remote_factor
    entry.configuration = entry.configuration._replace(
        version=2, routes=(route(goal_ms=62, slack_factor=1.6),)
    )
    entry.handle(ConfigurationRead(b"2"))
    for number, (name, slowdown) in enumerate(slowdowns.items()):
        labels = (name, f"r{number + 1}")
        entry.handle(WorkerProfile("desk", TOTAL, labels, 1, False), name)
        learned = LearnedSlowdown(math.log(slowdown), 1_000)
        entry.state.worker_slowdowns.update(name, name, learned)
    return entry


def job_with_data(number: int, rack: str) -> BurstJob:
    plain = job(number, estimate_ms=400)
    return plain._replace(steps=(plain.steps[0]._replace(preferred_rack=rack),))


@pytest.mark.parametrize(
    ("remote_factor", "slowdowns", "full", "agents"),
    [
        (3.0, {"a": 1.0, "b": 0.6}, "", ["a"]),
        (3.0, {"a": 1.0, "b": 0.3}, "", ["b"]),
        (1.0, {"a": 1.0, "b": 0.6}, "", ["b"]),
        (2.0, {"a": 1.0, "b": 0.6}, "a", ["b"]),
    ],
    ids=[
        "sooner near the data",
        "sooner elsewhere",
        "no difference by the settings",
        "rack is full",
    ],
)
def test_job_runs_where_it_ends_first(
    remote_factor: float, slowdowns: dict[str, float], full: str, agents: list[str]
) -> None:
    """Replays jobs with data in one rack; elsewhere tasks take longer."""
    entry = entry_with_racks(remote_factor, slowdowns)
    for name in full:
        entry.report_capacity(name, FULL, 99)
    entry.handle(submit(1, job_with_data(1, "r1")))
    assert [name for name, _ in entry.orders()] == agents


def test_order_far_from_the_data_states_the_work_expected_there() -> None:
    """Otherwise the worker would seem slow, and get fewer jobs without data."""
    entry = entry_with_racks(2.0, {"a": 1.0, "b": 0.6})
    entry.report_capacity("a", FULL, 99)
    entry.handle(submit(1, job_with_data(1, "r1")))
    assert [order.estimate_ms for _, order in entry.orders()] == [800]
    assert logged(entry.effects, "runs ordered")[0]["data_factor"] == 2.0
    assert entry.state.counters["runs_ordered_far_from_data"] == 1
