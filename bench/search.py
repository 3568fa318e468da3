"""Injects random faults into simulated deployments and looks for violations.

A cell is one simulated run. Its faults and sizes follow from its seed alone,
so that a violation can be reproduced.
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

__all__ = ["CellResult", "make_cell", "run_seed"]

WORKER_PROCESSES = 6
CELLS_PER_CHUNK = 20
MAX_INJECTIONS = 7
FIRST_SEED = 10_000


class CellResult(NamedTuple):
    """A seed and the violations of its cell."""

    seed: int
    violations: list[str]


def make_cell(seed: int) -> tuple[tuple[FaultInjection, ...], SimulationConfig]:
    """Return the faults of a cell, and the sizes of its deployment."""
    rng = random.Random(seed)
    config = SimulationConfig(
        entries=rng.choice((2, 3)),
        slowness=tuple(
            rng.choice((0.5, 1, 2)) for _ in range(rng.choice((1, 2, 3, 5)))
        ),
        agent_policy=AgentPolicy(
            queue_units=rng.choice((0, 1, 4)),
            table_limit=rng.choice((50_000, 20)),
        ),
    )
    injections = tuple(
        FaultInjection(
            rng.choice(sorted(FAULTS)), rng.choice(INJECTION_POINTS), rng.randint(1, 25)
        )
        for _ in range(rng.randint(1, MAX_INJECTIONS))
    )
    return injections, config


def run_seed(seed: int) -> CellResult:
    """Run the cell that follows from a seed."""
    injections, config = make_cell(seed)
    _, violations = run_with_faults(injections, seed, config)
    return CellResult(seed, violations)


def main(cells: int = 4_000, first: int = FIRST_SEED) -> None:
    """Run cells with consecutive seeds; exit with 1 after a violation.

    Args:
        cells: Number of cells.
        first: First seed.

    """
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        seeds = range(first, first + cells)
        results = list(pool.map(run_seed, seeds, chunksize=CELLS_PER_CHUNK))
    violating = [result for result in results if result.violations]
    print(f"search: {cells} cells from seed {first}, {len(violating)} bad")
    for result in violating[:20]:
        print(f"  seed {result.seed}: {result.violations[:2]}")
    if violating:
        sys.exit(1)


if __name__ == "__main__":
    cyclopts.run(main)
