"""Runs jobs in a simulation with injected faults, and checks the invariants."""

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

WARM_UP_MS = 600.0
JOBS = 12
JOB_INTERVAL_MS = 120.0
END_MS = 40_000.0
BUDGETS_MS = (1_500, 4_000, 8_000)
DEFAULT_CONFIG = SimulationConfig()


class FaultInjection(NamedTuple):
    """A fault, to inject when the injection point is reached for the nth time."""

    fault: str
    point: str
    nth: int = 1


def run_with_faults(
    injections: tuple[FaultInjection, ...],
    seed: int = 1,
    config: SimulationConfig = DEFAULT_CONFIG,
) -> tuple[History, list[str]]:
    """Run the jobs with the faults; return the history and the violations found."""
    simulation = Simulation(config._replace(seed=seed))
    callers = Callers(simulation)
    rng = random.Random(seed)
    simulation.run_until_ms(WARM_UP_MS)
    # Injections count from here on, without the messages of the warm-up.
    simulation.point_counts.clear()
    for injection in injections:
        plan_injection(simulation, injection)
    for index in range(JOBS):
        job = make_mixed_job(
            f"job-{index}",
            rng.choice((1, 4, 10)),
            rng.choice(BUDGETS_MS),
            rng.choice((50, 100, 300)),
        )
        submitted_twice = index % 4 == 3
        # A caller that may submit the key to a second entry before it has an
        # answer can't state that the key is new.
        job = job._replace(resubmission=submitted_twice)
        entry = simulation.entries[index % len(simulation.entries)]
        delay_ms = index * JOB_INTERVAL_MS
        simulation.schedule.after_ms(delay_ms, partial(callers.submit, entry, job))
        if submitted_twice:
            # Some callers don't wait for the answer before they submit the same
            # key to another entry.
            other_entry = simulation.entries[(index + 1) % len(simulation.entries)]
            resubmitted = job._replace(resubmission=True)
            simulation.schedule.after_ms(
                delay_ms + rng.choice((0.5, 8.0, 60.0)),
                partial(callers.submit, other_entry, resubmitted),
            )
    simulation.run_until_ms(END_MS)
    return simulation.history, find_violations(simulation.history)


def plan_injection(simulation: Simulation, injection: FaultInjection) -> None:
    """Plan the start of a fault at its injection point, and its end."""
    fault = FAULTS[injection.fault]

    def inject() -> None:
        # The injection point is reached while the effects of an event are
        # carried out. A fault may change nodes only after all of them.
        simulation.schedule.after_ms(0.0, lambda: fault.start(simulation))
        simulation.schedule.after_ms(fault.duration_ms, lambda: fault.end(simulation))

    simulation.inject_at(injection.point, injection.nth, inject)
