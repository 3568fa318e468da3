"""Regression tests for failures that bench/overload.py found."""

from __future__ import annotations

from bench.overload import BUDGET_MS
from bench.overload import WARM_MS
from bench.overload import Phase
from bench.overload import add_load
from bench.overload import make_world
from bench.overload import median_between
from bench.overload import outcomes
from bench.virtual.invariants import find_violations

from sardineferry.decision.entry.state import AgentView
from sardineferry.messages.target import TargetShape


def test_overload_by_one_team_fails_no_job_of_another() -> None:
    world = make_world((("calm", 48), ("loud", 40)), seed=1)
    end_ms = add_load(world, "calm", [Phase(0.3, 8_000)], seed=1)
    add_load(world, "loud", [Phase(0, 1_000), Phase(2.0, 5_000)], seed=2)
    world.run_until_ms(end_ms + 6_000)
    calm = [row.state for row in outcomes(world) if row.team == "calm"]
    assert calm.count("complete") == len(calm)


def test_response_time_recovers_after_a_burst_beyond_capacity() -> None:
    world = make_world((("team", 10_000),), seed=1)
    phases = [Phase(0.7, 4_000), Phase(3.0, 3_000), Phase(0.7, 10_000)]
    end_ms = add_load(world, "team", phases, seed=1)
    world.run_until_ms(end_ms + 6_000)
    rows = outcomes(world)
    normal_ms = median_between(rows, WARM_MS, WARM_MS + 4_000)
    # The queue holds up to one time budget of work; it drains with the 30% of
    # capacity that normal load leaves free.
    drained_ms = WARM_MS + 7_000 + BUDGET_MS / 0.3
    later_ms = median_between(rows, drained_ms, end_ms)
    assert later_ms <= 1.2 * normal_ms
    assert find_violations(world.history) == []


def test_first_long_task_does_not_mark_a_target_as_slow() -> None:
    view = AgentView("a", "r", "dc", TargetShape("minion", slots=8), 0)
    view.run_time_factor.add(7.0)
    assert view.run_time_factor.value < 2.0
