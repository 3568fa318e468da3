"""Searches random sequences of faults over random sizes for violations.

Each cell is made from its seed alone, so that a find can be run again.
"""

from __future__ import annotations

import random
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import cyclopts

from bench.virtual.fault_injection import FaultInjection
from bench.virtual.fault_injection import run_with_faults
from bench.virtual.faults import FAULTS
from bench.virtual.faults import INJECTION_POINTS
from bench.virtual.simulation import SimulationConfig
from sardineferry.decision.agent import AgentPolicy

__all__ = ["Found", "make_cell", "run_seed"]

WORKERS = 6
CHUNK = 20
MOST_STRIKES = 7
FIRST_SEED = 10_000


class Found(NamedTuple):
    """A seed and the violations of its cell."""

    seed: int
    violations: list[str]


def make_cell(seed: int) -> tuple[tuple[FaultInjection, ...], SimulationConfig]:
    """Return the faults and the sizes of a cell."""
    source = random.Random(seed)
    plan = SimulationConfig(
        entries=source.choice((2, 3)),
        slowness=tuple(
            source.choice((0.5, 1, 2)) for _ in range(source.choice((1, 2, 3, 5)))
        ),
        agent_policy=AgentPolicy(
            queue_units=source.choice((0, 1, 4)),
            table_limit=source.choice((50_000, 20)),
        ),
    )
    strikes = tuple(
        FaultInjection(
            source.choice(sorted(FAULTS)),
            source.choice(INJECTION_POINTS),
            source.randint(1, 25),
        )
        for _ in range(source.randint(1, MOST_STRIKES))
    )
    return strikes, plan


def run_seed(seed: int) -> Found:
    """Run the cell of a seed."""
    strikes, plan = make_cell(seed)
    _, violations = run_with_faults(strikes, seed, plan)
    return Found(seed, violations)


def main(cells: int = 4_000, first: int = FIRST_SEED) -> None:
    """Search.

    Args:
        cells: How many cells to run.
        first: The first seed.

    """
    with ProcessPoolExecutor(WORKERS) as pool:
        seeds = range(first, first + cells)
        results = list(pool.map(run_seed, seeds, chunksize=CHUNK))
    bad = [result for result in results if result.violations]
    print(f"search: {cells} cells from seed {first}, {len(bad)} bad")
    for result in bad[:20]:
        print(f"  seed {result.seed}: {result.violations[:2]}")
    if bad:
        sys.exit(1)


if __name__ == "__main__":
    cyclopts.run(main)
