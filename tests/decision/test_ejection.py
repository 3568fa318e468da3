"""Tests of ejecting failing targets, with several entries and virtual time."""

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
POISON = "poison"


def run(world: Simulation, poison_every: int = 0) -> None:
    """Submit quote jobs at a steady rate; every n-th may be a poison job."""
    world.run_until_ms(500)
    for index in range(JOBS):
        poison = poison_every and index % poison_every == 0
        kind = POISON if poison else "quote"
        task = Task("t", kind, True, "", run_ms=40)
        item = Job(f"j{index}", "team", 5_000, (task,))
        world.submit(world.entries[index % 2], item)
        world.run_until_ms(500 + (index + 1) * JOB_INTERVAL_MS)
    world.run_until_ms(10_000)


def breaker_states(world: Simulation) -> list[str]:
    return [
        world.nodes[entry].core.state.members["agent-0"].health.state  # type: ignore[union-attr]
        for entry in world.entries
    ]


def ejections(world: Simulation) -> int:
    return sum(
        world.nodes[entry].core.state.counters["ejections"] for entry in world.entries
    )


def test_target_that_fails_everything_is_ejected_and_readmitted() -> None:
    world = Simulation(SimulationConfig(slowness=(0.5, 1.0, 1.0, 1.0)))
    world.nodes["agent-0"].target.failing = True
    world.schedule.after_ms(
        1_200, lambda: setattr(world.nodes["agent-0"].target, "failing", False)
    )
    run(world)
    wasted = [
        item
        for item in world.history.started
        if item.agent.startswith("agent-0") and item.at_ms < 1_200
    ]
    answers = [item.answer.state for item in world.history.answered]
    assert answers == ["complete"] * JOBS
    assert ejections(world) >= 2
    # Each of the two entries sends three tasks that fail before it ejects the
    # target, and has further tasks in flight by then.
    assert len(wasted) <= 12
    assert breaker_states(world) == ["closed", "closed"]


def test_task_that_fails_everywhere_ejects_no_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = Simulation(SimulationConfig(slowness=(1.0,) * 4))
    finish = world.finish

    def finish_or_fail(node, run, attempt, duration_ms):  # type: ignore[no-untyped-def]
        poison = int(attempt.submission[1:]) % 2 == 0
        node.target.failing = poison
        finish(node, run, attempt, duration_ms)
        node.target.failing = False

    monkeypatch.setattr(world, "finish", finish_or_fail)
    run(world, poison_every=2)
    outcomes = [item.answer.state for item in world.history.answered]
    assert ejections(world) == 0
    assert outcomes.count("complete") == JOBS // 2
    assert outcomes.count("failed") == JOBS // 2
