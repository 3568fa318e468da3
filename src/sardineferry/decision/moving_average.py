"""Exponentially weighted moving averages."""

from __future__ import annotations

__all__ = ["MovingAverage"]


class MovingAverage:
    """A moving average in which older samples count less."""

    __slots__ = ("count", "value", "weight")

    def __init__(self, value: float, weight: float = 0.1, prior: int = 0) -> None:
        """Start at ``value``, which counts as much as ``prior`` samples.

        Without ``prior`` samples, the first sample replaces ``value``.
        ``weight`` is the smallest share that a new sample has in the mean.
        """
        self.value = value
        self.weight = weight
        self.count = prior

    def add(self, sample: float) -> None:
        """Add a sample; until ``1 / weight`` samples this is a plain mean."""
        self.count += 1
        weight = max(self.weight, 1.0 / self.count)
        self.value += weight * (sample - self.value)
