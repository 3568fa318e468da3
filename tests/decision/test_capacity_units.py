"""Tests of capacity units."""

from __future__ import annotations

import pytest

from sardineferry.decision.capacity_units import fits
from sardineferry.decision.capacity_units import task_units
from sardineferry.decision.capacity_units import total_units
from sardineferry.messages.job import Task
from sardineferry.messages.target import TargetShape

MINION = TargetShape("minion", slots=8)
WORKER = TargetShape("worker", processors=64, memory_mb=131_072, accelerators=2)


def task(processors: int = 1, memory_mb: int = 0, accelerators: int = 0) -> Task:
    return Task("t", "k", True, "", processors, memory_mb, accelerators)


@pytest.mark.parametrize(
    ("shape", "asked", "units", "fits_target"),
    [
        (MINION, task(), 1, True),
        (MINION, task(processors=9), 1, True),
        (MINION, task(accelerators=1), 1, False),
        (WORKER, task(), 1, True),
        (WORKER, task(processors=64), 64, True),
        (WORKER, task(processors=65), 65, False),
        (WORKER, task(memory_mb=4_097), 3, True),
        (WORKER, task(memory_mb=131_073), 65, False),
        (WORKER, task(accelerators=2), 1, True),
        (WORKER, task(accelerators=3), 1, False),
    ],
)
def test_task_units_and_fits_follow_shape(
    shape: TargetShape, asked: Task, units: int, fits_target: bool
) -> None:
    assert task_units(asked, shape) == units
    assert fits(asked, shape) is fits_target


@pytest.mark.parametrize(("shape", "units"), [(MINION, 8), (WORKER, 64)])
def test_total_units_counts_slots_or_processors(shape: TargetShape, units: int) -> None:
    assert total_units(shape) == units
