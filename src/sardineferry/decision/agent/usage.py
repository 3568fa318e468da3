"""Corrects declared task sizes by measured use, and relieves overcommitted workers.

When running tasks use more than their worker has, the newest idempotent one is
throttled, then checkpointed, then stopped: one step for each usage report.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.averages_by_kind import average_of_kind
from sardineferry.decision.effects import CheckpointTask
from sardineferry.decision.effects import Effect
from sardineferry.decision.effects import StopTask
from sardineferry.decision.effects import ThrottleTask

if TYPE_CHECKING:
    from sardineferry.decision.agent.table import Row
    from sardineferry.decision.events import UsageReported
    from sardineferry.decision.moving_average import MovingAverage
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.target import TargetShape

__all__ = ["UsageModel"]

# Largest factor by which a declared size is multiplied.
MAX_CORRECTION_FACTOR = 16.0
# Weight of one measurement in the mean ratio of its kind of task.
RATIO_SAMPLE_WEIGHT = 0.1
# In order of severity.
OVERLOAD_ACTIONS = (ThrottleTask, CheckpointTask, StopTask)


class UsageModel:
    """The mean ratio of used to declared size for each kind of task.

    ``actions_taken`` counts the actions against overcommitment by attempt.
    """

    def __init__(self) -> None:
        """Start without measurements: declared sizes are used as they are."""
        self.ratios: dict[str, MovingAverage] = {}
        self.actions_taken: dict[Attempt, int] = {}

    def corrected_units(self, kind: str, units: int) -> int:
        """Return the units to reserve for a task that declares ``units``."""
        used_to_declared = self.ratios.get(kind)
        if used_to_declared is None:
            return units
        return max(1, round(units * min(MAX_CORRECTION_FACTOR, used_to_declared.value)))

    def add_measurement(self, kind: str, declared: int, used: float) -> None:
        """Add the measured size of a running task to the mean of its kind."""
        used_to_declared = average_of_kind(self.ratios, kind, 1.0, RATIO_SAMPLE_WEIGHT)
        used_to_declared.add(used / max(1, declared))

    def next_overload_action(
        self,
        report: UsageReported,
        shape: TargetShape,
        running: dict[tuple[str, str], Row],
    ) -> Effect | None:
        """Return the next action against overcommitment, if there is one."""
        processors = sum(item.processors for item in report.tasks)
        memory = sum(item.memory_mb for item in report.tasks)
        if processors <= shape.processors and memory <= shape.memory_mb:
            self.actions_taken.clear()
            return None
        candidates = [
            row for row in running.values() if row.task and row.task.idempotent
        ]
        if not candidates:
            return None
        newest = max(candidates, key=lambda row: row.started_at_ms)
        action_index = self.actions_taken.get(newest.attempt, 0)
        if action_index >= len(OVERLOAD_ACTIONS):
            return None
        self.actions_taken[newest.attempt] = action_index + 1
        return OVERLOAD_ACTIONS[action_index](newest.attempt)

    def forget_attempt(self, attempt: Attempt) -> None:
        """Remove the state of an attempt that ended."""
        self.actions_taken.pop(attempt, None)
