"""Decayed means of service times."""

from __future__ import annotations

__all__ = ["Estimate"]


class Estimate:
    """An exponentially decayed mean."""

    __slots__ = ("count", "value", "weight")

    def __init__(self, value: float, weight: float = 0.1, prior: int = 0) -> None:
        """Start at ``value``, which counts as ``prior`` samples.

        ``weight`` is the share of a new sample once there are many.
        """
        self.value = value
        self.weight = weight
        self.count = prior

    def add(self, sample: float) -> None:
        """Include a sample; early samples weigh as in a plain mean."""
        self.count += 1
        weight = max(self.weight, 1.0 / self.count)
        self.value += weight * (sample - self.value)
