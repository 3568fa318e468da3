"""Converts the needs of tasks and the sizes of targets to capacity units.

On a minion a unit is a slot, and each task takes one. On a worker a unit is a
processor with its share of the memory. Accelerators are not part of the units
and are checked separately.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.messages.job import Task
    from sardineferry.messages.target import TargetShape

__all__ = ["fits", "task_units", "total_units"]


def total_units(shape: TargetShape) -> int:
    """Return the units that a target of this shape offers."""
    if shape.kind == "minion":
        return shape.slots
    return shape.processors


def task_units(task: Task, shape: TargetShape) -> int:
    """Return the units that a task takes on a target of this shape.

    On a worker this is the larger of its processors and its share of memory.
    """
    if shape.kind == "minion":
        return 1
    if shape.processors == 0 or shape.memory_mb == 0:
        return max(1, task.processors)
    memory_per_unit = shape.memory_mb / shape.processors
    return max(1, task.processors, math.ceil(task.memory_mb / memory_per_unit))


def fits(task: Task, shape: TargetShape) -> bool:
    """Return whether an idle target of this shape could run the task."""
    if shape.kind == "minion":
        return task.accelerators == 0 and shape.slots > 0
    if task.accelerators > shape.accelerators:
        return False
    if task.memory_mb > shape.memory_mb:
        return False
    return task_units(task, shape) <= total_units(shape)
