"""Running means by kind of task.

Callers choose the names of kinds, so the number of kinds kept is limited.
"""

from __future__ import annotations

from sardineferry.decision.estimate import Estimate

__all__ = ["MAX_KINDS", "estimate_of"]

MAX_KINDS = 1_000


def estimate_of(
    estimates: dict[str, Estimate], kind: str, initial: float, weight: float
) -> Estimate:
    """Return the running mean of a kind, adding it at ``initial`` if missing.

    At the limit, the kind that was added first is removed.
    """
    found = estimates.get(kind)
    if found is not None:
        return found
    if len(estimates) >= MAX_KINDS:
        del estimates[next(iter(estimates))]
    estimates[kind] = Estimate(initial, weight)
    return estimates[kind]
