"""Moving averages by kind of task.

Callers choose the names of kinds, so the number of kinds kept is limited.
"""

from __future__ import annotations

from sardineferry.decision.moving_average import MovingAverage

__all__ = ["MAX_KINDS", "average_of_kind"]

MAX_KINDS = 1_000


def average_of_kind(
    averages: dict[str, MovingAverage], kind: str, initial: float, weight: float
) -> MovingAverage:
    """Return the moving average of a kind, adding it at ``initial`` if missing.

    The first sample of a kind replaces ``initial``. At the limit, the kind that was
    added first is removed.
    """
    found = averages.get(kind)
    if found is not None:
        return found
    if len(averages) >= MAX_KINDS:
        del averages[next(iter(averages))]
    averages[kind] = MovingAverage(initial, weight)
    return averages[kind]
