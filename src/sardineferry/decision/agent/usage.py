"""Corrects declared sizes by lagging usage, and orders relief.

A worker whose running tasks use more than it has is relieved in order:
throttle the newest idempotent task, then checkpoint it, then stop it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import CheckpointTask
from sardineferry.decision.effects import Effect
from sardineferry.decision.effects import StopTask
from sardineferry.decision.effects import ThrottleTask
from sardineferry.decision.kinds import estimate_of

if TYPE_CHECKING:
    from sardineferry.decision.agent.table import Row
    from sardineferry.decision.estimate import Estimate
    from sardineferry.decision.events import UsageReported
    from sardineferry.messages.job import Attempt
    from sardineferry.messages.target import TargetShape

__all__ = ["UsageModel"]

CORRECTION_CAP = 16.0
RATIO_WEIGHT = 0.1
RELIEF_STEPS = (ThrottleTask, CheckpointTask, StopTask)


class UsageModel:
    """Learned ratio of used to declared size for each kind of task."""

    def __init__(self) -> None:
        """Start by trusting declared sizes."""
        self.ratios: dict[str, Estimate] = {}
        self.relief: dict[Attempt, int] = {}

    def corrected(self, kind: str, units: int) -> int:
        """Return the units to reserve for a task that declares ``units``."""
        ratio = self.ratios.get(kind)
        if ratio is None:
            return units
        return max(1, round(units * min(CORRECTION_CAP, ratio.value)))

    def learn(self, kind: str, declared: int, used: float) -> None:
        """Include a measurement."""
        ratio = estimate_of(self.ratios, kind, 1.0, RATIO_WEIGHT)
        ratio.add(used / max(1, declared))

    def relieve(
        self,
        report: UsageReported,
        shape: TargetShape,
        running: dict[tuple[str, str], Row],
    ) -> Effect | None:
        """Return the next step of relief when the worker is overcommitted."""
        processors = sum(item.processors for item in report.tasks)
        memory = sum(item.memory_mb for item in report.tasks)
        if processors <= shape.processors and memory <= shape.memory_mb:
            self.relief.clear()
            return None
        candidates = [
            row for row in running.values() if row.task and row.task.idempotent
        ]
        if not candidates:
            return None
        newest = max(candidates, key=lambda row: row.started_at_ms)
        step = self.relief.get(newest.attempt, 0)
        if step >= len(RELIEF_STEPS):
            return None
        self.relief[newest.attempt] = step + 1
        return RELIEF_STEPS[step](newest.attempt)

    def forget(self, attempt: Attempt) -> None:
        """Drop what is kept for an attempt that ended."""
        self.relief.pop(attempt, None)
