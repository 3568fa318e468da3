"""Tests of the ejection of failing targets, with two entries under virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.virtual.simulation import Simulation
from bench.virtual.simulation import SimulationConfig

from sardineferry.messages.job import Job
from sardineferry.messages.job import Task

if TYPE_CHECKING:
    import pytest

JOBS = 150
JOB_INTERVAL_MS = 20
# A kind of task that fails on every target.
FAILING_KIND = "poison"


def run(simulation: Simulation, failing_every: int = 0) -> None:
    """Submit quote jobs at a steady rate; every n-th may be of the failing kind."""
    simulation.run_until_ms(500)
    for index in range(JOBS):
        fails = failing_every and index % failing_every == 0
        kind = FAILING_KIND if fails else "quote"
        task = Task("t", kind, True, "", run_ms=40)
        item = Job(f"j{index}", "team", 5_000, (task,))
        simulation.submit(simulation.entries[index % 2], item)
        simulation.run_until_ms(500 + (index + 1) * JOB_INTERVAL_MS)
    simulation.run_until_ms(10_000)


def breaker_states(simulation: Simulation) -> list[str]:
    return [
        simulation.nodes[entry].core.state.agents["agent-0"].health.state  # type: ignore[union-attr]
        for entry in simulation.entries
    ]


def ejections(simulation: Simulation) -> int:
    return sum(
        simulation.nodes[entry].core.state.counters["ejections"]
        for entry in simulation.entries
    )


def test_target_that_fails_everything_is_ejected_and_readmitted() -> None:
    simulation = Simulation(SimulationConfig(slowness=(0.5, 1.0, 1.0, 1.0)))
    simulation.nodes["agent-0"].target.failing = True
    simulation.schedule.after_ms(
        1_200, lambda: setattr(simulation.nodes["agent-0"].target, "failing", False)
    )
    run(simulation)
    wasted = [
        item
        for item in simulation.history.started
        if item.agent.startswith("agent-0") and item.at_ms < 1_200
    ]
    answers = [item.answer.state for item in simulation.history.answered]
    assert answers == ["complete"] * JOBS
    assert ejections(simulation) >= 2
    # Each of the two entries sends three tasks that fail before it ejects the
    # target, and has further tasks in flight by then.
    assert len(wasted) <= 12
    assert breaker_states(simulation) == ["closed", "closed"]


def test_task_that_fails_everywhere_ejects_no_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    simulation = Simulation(SimulationConfig(slowness=(1.0,) * 4))
    finish = simulation.finish

    def finish_or_fail(node, run, attempt, duration_ms):  # type: ignore[no-untyped-def]
        fails = int(attempt.submission[1:]) % 2 == 0
        node.target.failing = fails
        finish(node, run, attempt, duration_ms)
        node.target.failing = False

    monkeypatch.setattr(simulation, "finish", finish_or_fail)
    run(simulation, failing_every=2)
    outcomes = [item.answer.state for item in simulation.history.answered]
    assert ejections(simulation) == 0
    assert outcomes.count("complete") == JOBS // 2
    assert outcomes.count("failed") == JOBS // 2
