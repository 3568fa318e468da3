"""Runs the whole fault matrix: each fault at each step, and pairs of faults.

A cell is one simulated run. Prints the number of cells and the first violations
of each kind; exits with 1 if there was one.
"""

from __future__ import annotations

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import cyclopts

from bench.virtual.fault_injection import FaultInjection
from bench.virtual.fault_injection import run_with_faults
from bench.virtual.faults import FAULTS
from bench.virtual.faults import INJECTION_POINTS

# A fault is injected when its step is reached for the n-th time.
STEP_OCCURRENCES = (1, 5, 17)
WORKER_PROCESSES = 6
CELLS_PER_CHUNK = 20


class Cell(NamedTuple):
    """The faults to inject into one run, and its seed."""

    injections: tuple[FaultInjection, ...]
    seed: int


class CellResult(NamedTuple):
    """Whether every fault was injected, and which invariants were violated."""

    cell: Cell
    all_injected: bool
    violations: list[str]


def single_cells(seeds: int) -> list[Cell]:
    """Return each fault at several occurrences of each step."""
    return [
        Cell((FaultInjection(fault, step, occurrence),), seed)
        for fault in FAULTS
        for step in INJECTION_POINTS
        for occurrence in STEP_OCCURRENCES
        for seed in range(1, seeds + 1)
    ]


def pair_cells(seeds: int) -> list[Cell]:
    """Return each ordered pair of faults at several pairs of steps."""
    return [
        Cell(
            (
                FaultInjection(first, first_step, 3),
                FaultInjection(second, second_step, 6),
            ),
            seed,
        )
        for first, second in itertools.product(FAULTS, repeat=2)
        for first_step in ("after_start", "before_append")
        for second_step in INJECTION_POINTS
        for seed in range(1, seeds + 1)
    ]


def run_cell(cell: Cell) -> CellResult:
    """Run a cell, and check it."""
    history, violations = run_with_faults(cell.injections, cell.seed)
    return CellResult(cell, history.injected_faults == len(cell.injections), violations)


def run(singles: int = 4, pairs: int = 1) -> None:
    """Run the matrix; exit with 1 after a violation.

    Args:
        singles: Seeds for each single fault.
        pairs: Seeds for each pair of faults.

    """
    failed = False
    for name, cells in (("single", single_cells(singles)), ("pair", pair_cells(pairs))):
        with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
            results = list(pool.map(run_cell, cells, chunksize=CELLS_PER_CHUNK))
        fully_injected = sum(result.all_injected for result in results)
        violating = [result for result in results if result.violations]
        print(
            f"{name}: {len(results)} cells, {fully_injected} with all faults injected, "
            f"{len(violating)} bad"
        )
        for result in violating[:20]:
            print(f"  {result.cell}: {result.violations[:2]}")
        failed = failed or bool(violating)
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    cyclopts.run(run)
