"""Tests which burst jobs are delayed or refused when capacity is short.

Each rule has a check and a planted defect that the check must find.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import nullcontext
from typing import Any
from typing import NamedTuple

import pytest
from bench.virtual.overload_load import METER_SIZE
from bench.virtual.overload_load import OVERLOADS
from bench.virtual.overload_load import RouteResult
from bench.virtual.overload_load import run_overload

from sardineferry.decision.burst import configuration
from sardineferry.decision.burst import entry_callers
from sardineferry.decision.burst import entry_placement
from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.entry_state import ActiveJob
from sardineferry.decision.burst.overload import ArrivalRates
from sardineferry.decision.burst.overload import ForecastTerms
from sardineferry.decision.burst.overload import WaitingJob
from sardineferry.decision.burst.overload import WithheldAgents
from sardineferry.decision.burst.overload import jittered_retry_after_ms
from sardineferry.decision.burst.overload import order
from sardineferry.decision.burst.overload import refusal_counter
from sardineferry.decision.burst.overload import retry_after
from sardineferry.decision.burst.overload import shedding
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.messages.burst import EntryBacklog
from sardineferry.messages.burst import PriorityWork
from sardineferry.messages.burst import Resources
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import logged
from tests.decision.burst.drive import route
from tests.decision.burst.drive import sent
from tests.decision.burst.drive import submit

SIZE = METER_SIZE._replace(data_centres=1, entries=1, utilization=0.9)


def run(load: str) -> dict[str, RouteResult]:
    return run_overload(OVERLOADS[load], SIZE)


def make_entry(priorities: tuple[int, int] = (0, 1)) -> EntryDriver:
    """Return an entry with one worker of four cores and the routes /p0/ and /p1/."""
    entry = EntryDriver("a")
    routes = tuple(
        route(name=f"p{number}", path_prefix=f"/p{number}/", priority=priority)
        for number, priority in enumerate(priorities)
    )
    entry.configuration = Configuration(2, routes, EdgeLimits(), b"2")
    entry.handle(ConfigurationRead(b"2"))
    return entry


def submit_to(entry: EntryDriver, number: int, path: str, **fields: Any) -> None:
    submitted = job(number, **fields)
    event = submit(number, submitted)._replace(path=f"/{path}/{submitted.job_id}")
    entry.handle(event)


def ordered_jobs(entry: EntryDriver) -> list[int]:
    return [int(message.runs[0].task[:16], 16) for _, message in entry.orders()]


def check_urgent_route_is_served_as_without_a_burst(load: str = "all 1.7") -> None:
    assert run(load)["ping"].in_time >= run("none")["ping"].in_time - 0.03


def check_refusals_come_within_a_quarter_of_the_bound() -> None:
    for result in run("all 1.7").values():
        assert result.held <= 0.06


def check_least_urgent_jobs_are_refused_on_arrival() -> None:
    result = run("all 1.7")["disconnect"]
    assert result.at_once >= 0.5 * result.refused > 0.1


def check_more_urgent_job_is_placed_before_one_with_an_earlier_start() -> None:
    entry = make_entry()
    submit_to(entry, 1, "p0", tasks=4)
    submit_to(entry, 2, "p1", tasks=4)
    submit_to(entry, 3, "p0", tasks=4, estimate_ms=500)
    early, urgent = (entry.state.jobs[f"{number:016x}"] for number in (2, 3))
    assert early.latest_start_ms < urgent.latest_start_ms
    entry.report_capacity("a", Resources(4_000, 1_000, 0), last_order=1)
    assert ordered_jobs(entry) == [1, 3]


def check_capacity_is_left_to_more_urgent_jobs_of_other_entries() -> None:
    entry = make_entry()
    urgent = EntryBacklog("other", 0, (PriorityWork(0, 10**9),))
    entry.state.known_backlog.add(entry.now_ms, [urgent])
    for number, path in ((1, "p1"), (2, "p0")):
        submit_to(entry, number, path)
    assert ordered_jobs(entry) == [2]


def give_up(jobs: list[tuple[Any, ...]]) -> list[str]:
    """Return the ids of the jobs to give up at a rate of 1 per ms."""
    found = shedding.find_jobs_to_give_up(
        [WaitingJob(*fields) for fields in jobs], lambda _: ForecastTerms(1.0), 0
    )
    return [item.job_id for item in found]


def check_large_job_is_not_given_up_for_later_small_ones() -> None:
    small = [(f"small {n}", 0, n, 100, 20) for n in range(1, 8)]
    given_up = give_up([("large", 0, 0, 120, 500), *small])
    assert given_up == ["small 7"]


def start_half_of_a_large_job(entry: EntryDriver) -> None:
    """Let one task of a less urgent job run, and another wait for three cores."""
    submit_to(entry, 1, "p1", tasks=2, need=Resources(3_000, 10, 0))
    assert ordered_jobs(entry) == [1]


def check_worker_is_withheld_from_jobs_of_the_same_priority() -> None:
    entry = make_entry()
    start_half_of_a_large_job(entry)
    submit_to(entry, 2, "p1")
    assert ordered_jobs(entry) == [1]


def check_worker_is_not_withheld_from_more_urgent_jobs() -> None:
    entry = make_entry()
    start_half_of_a_large_job(entry)
    submit_to(entry, 2, "p0")
    assert ordered_jobs(entry) == [1, 2]


def check_job_that_is_too_late_is_not_started() -> None:
    entry = make_entry()
    submit_to(entry, 1, "p0", tasks=4)
    submit_to(entry, 2, "p0")
    entry.now_ms = entry.state.queue[0].latest_start_ms + 1
    entry.report_capacity("a", Resources(4_000, 1_000, 0), last_order=1)
    assert ordered_jobs(entry) == [1]
    entry.tick()
    assert [reply.kind for reply in sent(entry.effects, BurstReply)] == [
        ReplyKind.NOT_RUN
    ]


def check_started_and_held_jobs_are_not_given_up() -> None:
    entry = make_entry()
    start_half_of_a_large_job(entry)
    assert not entry.state.queue[0].waiting_job().may_be_given_up


def check_equal_priorities_change_nothing() -> None:
    entry = make_entry((1, 1))
    submit_to(entry, 1, "p1", tasks=8, estimate_ms=2_000)
    assert not entry.state.jobs[f"{1:016x}"].is_prioritised
    assert entry.state.jobs[f"{1:016x}"].priority == 0


def check_refused_callers_return_at_different_times() -> None:
    delays = [jittered_retry_after_ms(300, random.Random(n)) for n in range(20)]
    assert min(delays) >= 300
    # In whole seconds, as the header has them.
    assert len({-(-delay // 1_000) for delay in delays}) > 1


def check_retry_after_counts_only_jobs_that_are_served_before() -> None:
    entry = make_entry()
    submit_to(entry, 1, "p1", tasks=4, estimate_ms=4_000)
    submit_to(entry, 2, "p1", tasks=4, estimate_ms=1_500)
    state, now_ms = entry.state, entry.now_ms
    assert entry_callers.forecast_priority_wait_ms(state, 0, now_ms) == 0
    assert entry_callers.forecast_priority_wait_ms(state, 1, now_ms) > 0


CHECKS = [value for name, value in list(globals().items()) if name.startswith("check_")]


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_rule(check: Callable[[], None]) -> None:
    check()


@pytest.mark.parametrize("load", ["pings 1.8", "disconnects 2.3"])
def test_urgent_route_is_served_as_without_a_burst(load: str) -> None:
    check_urgent_route_is_served_as_without_a_burst(load)


@pytest.mark.parametrize(
    ("load", "kind"), [("all 1.7", "ping"), ("all 1.7", "read"), ("reads 2.3", "read")]
)
def test_largest_jobs_are_served_half_as_often_as_all(load: str, kind: str) -> None:
    result = run(load)[kind]
    assert result.largest_worth >= 0.5 * result.worth > 0


class Mutant(NamedTuple):
    """A replacement for a part of a rule, and the check that must find it."""

    check: Callable[[], None]
    owner: Any
    name: str
    replacement: Callable[..., Any]


MUTANTS = (
    Mutant(
        check_urgent_route_is_served_as_without_a_burst,
        configuration,
        "find_prioritised_services",
        lambda _routes: {},
    ),
    Mutant(
        check_more_urgent_job_is_placed_before_one_with_an_earlier_start,
        entry_placement,
        "service_order",
        lambda started, _priority, latest_ms: (not started, 0, latest_ms),
    ),
    Mutant(
        check_least_urgent_jobs_are_refused_on_arrival,
        entry_callers,
        "find_jobs_to_give_up",
        lambda *_: [],
    ),
    Mutant(
        check_refusals_come_within_a_quarter_of_the_bound,
        entry_callers,
        "max_decision_wait_ms",
        lambda _goal_ms, wait_ms: wait_ms,
    ),
    Mutant(
        check_least_urgent_jobs_are_refused_on_arrival,
        ArrivalRates,
        "rate_before",
        lambda *_: 0.0,
    ),
    Mutant(
        check_large_job_is_not_given_up_for_later_small_ones,
        shedding,
        "choose_job_to_give_up",
        lambda jobs: max(jobs, key=lambda job: job.work),
    ),
    Mutant(
        check_worker_is_withheld_from_jobs_of_the_same_priority,
        WithheldAgents,
        "withhold",
        lambda *_: None,
    ),
    Mutant(
        check_worker_is_not_withheld_from_more_urgent_jobs,
        WithheldAgents,
        "is_withheld",
        lambda self, name, _priority: name in self.priorities,
    ),
    Mutant(
        check_capacity_is_left_to_more_urgent_jobs_of_other_entries,
        entry_placement,
        "leave_capacity",
        lambda *_: nullcontext(),
    ),
    Mutant(
        check_job_that_is_too_late_is_not_started,
        ActiveJob,
        "is_too_late_to_start",
        lambda *_: False,
    ),
    Mutant(
        check_started_and_held_jobs_are_not_given_up,
        ActiveJob,
        "started",
        False,  # type: ignore[arg-type]
    ),
    Mutant(
        check_equal_priorities_change_nothing,
        configuration,
        "find_prioritised_services",
        lambda routes: {route.service: 0 for route in routes},
    ),
    Mutant(
        check_refused_callers_return_at_different_times,
        retry_after,
        "MIN_JITTER_MS",
        0,  # type: ignore[arg-type]
    ),
    Mutant(
        check_retry_after_counts_only_jobs_that_are_served_before,
        entry_callers,
        "is_served_before",
        lambda *_: True,
    ),
)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_check_finds_mutant(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mutant.owner, mutant.name, mutant.replacement)
    with pytest.raises(AssertionError):
        mutant.check()


def test_every_check_has_a_mutant() -> None:
    assert set(CHECKS) == {mutant.check for mutant in MUTANTS}


@pytest.mark.parametrize(
    ("jobs", "given_up"),
    [
        ([("a", 0, 0, 100, 50), ("b", 0, 1, 100, 50)], []),
        # The less urgent one, although its latest start is earlier.
        ([("a", 0, 1, 100, 90), ("b", 1, 0, 80, 10)], ["b"]),
        # The later arrival, although the large one is served after it.
        ([("a", 0, 0, 100, 500), ("b", 0, 1, 90, 120)], ["b"]),
        # Nobody, if all work ahead is of a job that has started.
        ([("a", 1, 0, 0, 90, True, False), ("b", 0, 1, 100, 10)], []),
        ([("a", 1, 0, 0, 110, True, False), ("b", 0, 1, 100, 10)], ["b"]),
    ],
    ids=["all in time", "less urgent", "latest arrival", "started", "behind started"],
)
def test_given_up_are_the_least_urgent_and_the_latest(
    jobs: list[tuple[Any, ...]], given_up: list[str]
) -> None:
    assert give_up(jobs) == given_up


def test_forecast_counts_other_entries_and_urgent_arrivals() -> None:
    terms = ForecastTerms(10, 10, 100, others_yield=True, urgent_share=0.5)
    assert terms.wait_ms(100) == pytest.approx(40)
    assert order.find_prioritised_services(
        [route(priority=2), route(priority=1), route(service="other")]
    ) == {"desk": 1}


def test_refusals_are_counted_and_logged_by_priority_and_reason() -> None:
    entry = make_entry()
    submit_to(entry, 1, "p1", tasks=4, estimate_ms=4_000)
    for number in range(2, 6):
        submit_to(entry, number, "p1", tasks=4, estimate_ms=1_500)
    refused = logged(entry.effects, "job refused")[0]
    assert refused["priority"] == 1
    assert {"own_work", "others_work", "rate", "own_rate"} <= set(refused)
    name = refusal_counter("refused", 1, str(refused["reason"]))
    assert name.startswith("jobs_refused_priority_1_forecast_wait")
    assert entry.state.counters[name] >= 1
