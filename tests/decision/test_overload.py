"""Regression tests for failures that bench/overload.py found."""

from __future__ import annotations

from bench.overload import JOB_BUDGET_MS
from bench.overload import WARM_UP_MS
from bench.overload import LoadPhase
from bench.overload import collect_outcomes
from bench.overload import make_simulation
from bench.overload import median_response_ms
from bench.overload import schedule_load
from bench.virtual.invariants import find_violations

from sardineferry.decision.entry.state import AgentView
from sardineferry.messages.target import TargetShape


def test_overload_by_one_team_fails_no_job_of_another() -> None:
    simulation = make_simulation((("calm", 48), ("loud", 40)), seed=1)
    end_ms = schedule_load(simulation, "calm", [LoadPhase(0.3, 8_000)], seed=1)
    schedule_load(
        simulation, "loud", [LoadPhase(0, 1_000), LoadPhase(2.0, 5_000)], seed=2
    )
    simulation.run_until_ms(end_ms + 6_000)
    calm_states = [
        row.state for row in collect_outcomes(simulation) if row.team == "calm"
    ]
    assert calm_states.count("complete") == len(calm_states)


def test_response_time_recovers_after_a_burst_beyond_capacity() -> None:
    simulation = make_simulation((("team", 10_000),), seed=1)
    phases = [LoadPhase(0.7, 4_000), LoadPhase(3.0, 3_000), LoadPhase(0.7, 10_000)]
    end_ms = schedule_load(simulation, "team", phases, seed=1)
    simulation.run_until_ms(end_ms + 6_000)
    rows = collect_outcomes(simulation)
    normal_ms = median_response_ms(rows, WARM_UP_MS, WARM_UP_MS + 4_000)
    # The queue holds up to one time budget of work; it drains with the 30% of
    # capacity that normal load leaves free.
    drained_ms = WARM_UP_MS + 7_000 + JOB_BUDGET_MS / 0.3
    later_ms = median_response_ms(rows, drained_ms, end_ms)
    assert later_ms <= 1.2 * normal_ms
    assert find_violations(simulation.history) == []


def test_first_long_task_does_not_mark_a_target_as_slow() -> None:
    view = AgentView("a", "r", "dc", TargetShape("minion", slots=8), 0)
    view.run_time_factor.add(7.0)
    assert view.run_time_factor.value < 2.0
