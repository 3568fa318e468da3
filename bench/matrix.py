"""Runs the whole fault matrix: each fault at each step, and in pairs.

Prints the cells run and every violation; exits with 1 if there was one.
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

COUNTS = (1, 5, 17)
WORKERS = 6
CHUNK = 20


class Cell(NamedTuple):
    """The strikes of one run and its seed."""

    strikes: tuple[FaultInjection, ...]
    seed: int


class CellResult(NamedTuple):
    """Whether every fault struck, and what laws were violated."""

    cell: Cell
    struck: bool
    violations: list[str]


def single_cells(seeds: int) -> list[Cell]:
    """Return each fault at each step, at several counts."""
    return [
        Cell((FaultInjection(fault, step, count),), seed)
        for fault in FAULTS
        for step in INJECTION_POINTS
        for count in COUNTS
        for seed in range(1, seeds + 1)
    ]


def pair_cells(seeds: int) -> list[Cell]:
    """Return each ordered pair of faults, the second at each step."""
    return [
        Cell((FaultInjection(one, first_step, 3), FaultInjection(other, step, 6)), seed)
        for one, other in itertools.product(FAULTS, repeat=2)
        for first_step in ("after_start", "before_append")
        for step in INJECTION_POINTS
        for seed in range(1, seeds + 1)
    ]


def run_cell(cell: Cell) -> CellResult:
    """Run one cell."""
    history, violations = run_with_faults(cell.strikes, cell.seed)
    return CellResult(cell, history.injected_faults == len(cell.strikes), violations)


def run(singles: int = 4, pairs: int = 1) -> None:
    """Run the matrix.

    Args:
        singles: Seeds for each single fault.
        pairs: Seeds for each pair of faults.

    """
    failed = False
    for name, cells in (("single", single_cells(singles)), ("pair", pair_cells(pairs))):
        with ProcessPoolExecutor(WORKERS) as pool:
            results = list(pool.map(run_cell, cells, chunksize=CHUNK))
        struck = sum(result.struck for result in results)
        bad = [result for result in results if result.violations]
        print(f"{name}: {len(results)} cells, {struck} fully struck, {len(bad)} bad")
        for result in bad[:20]:
            print(f"  {result.cell}: {result.violations[:2]}")
        failed = failed or bool(bad)
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    cyclopts.run(run)
