"""Runs jobs through a world while faults strike, and checks the laws."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from bench.virtual.callers import Callers
from bench.virtual.callers import make_mixed_job
from bench.virtual.faults import FAULTS
from bench.virtual.invariants import find_violations
from bench.virtual.simulation import Simulation
from bench.virtual.simulation import SimulationConfig

if TYPE_CHECKING:
    from bench.virtual.history import History

__all__ = ["FaultInjection", "run_with_faults"]

WARM_MS = 600.0
JOBS = 12
JOB_GAP_MS = 120.0
END_MS = 40_000.0
BUDGETS_MS = (1_500, 4_000, 8_000)
DEFAULT_PLAN = SimulationConfig()


class FaultInjection(NamedTuple):
    """A fault and the n-th time of the step at which it strikes."""

    fault: str
    step: str
    nth: int = 1


def run_with_faults(
    strikes: tuple[FaultInjection, ...],
    seed: int = 1,
    plan: SimulationConfig = DEFAULT_PLAN,
) -> tuple[History, list[str]]:
    """Run the drill; return its history and the violations found."""
    world = Simulation(plan._replace(seed=seed))
    callers = Callers(world)
    source = random.Random(seed)
    world.run_until_ms(WARM_MS)
    world.steps.clear()
    for strike in strikes:
        plan_strike(world, strike)
    for index in range(JOBS):
        job = make_mixed_job(
            f"job-{index}",
            source.choice((1, 4, 10)),
            source.choice(BUDGETS_MS),
            source.choice((50, 100, 300)),
        )
        impatient = index % 4 == 3
        # Who may submit the key elsewhere before an answer can't state that
        # it is new.
        job = job._replace(resubmission=impatient)
        entry = world.entries[index % len(world.entries)]
        delay_ms = index * JOB_GAP_MS
        world.schedule.after_ms(delay_ms, partial(callers.submit, entry, job))
        if impatient:
            # Some callers lose patience and submit the same key elsewhere.
            other = world.entries[(index + 1) % len(world.entries)]
            again = job._replace(resubmission=True)
            world.schedule.after_ms(
                delay_ms + source.choice((0.5, 8.0, 60.0)),
                partial(callers.submit, other, again),
            )
    world.run_until_ms(END_MS)
    return world.history, find_violations(world.history)


def plan_strike(world: Simulation, strike: FaultInjection) -> None:
    """Arrange for a fault to strike, and to end after its time."""
    fault = FAULTS[strike.fault]

    def hit() -> None:
        # The step is in the middle of a rule's effects; what strikes may
        # change the nodes only after them.
        world.schedule.after_ms(0.0, lambda: fault.strike(world))
        world.schedule.after_ms(fault.lasting_ms, lambda: fault.end(world))

    world.strike_at(strike.step, strike.nth, hit)
