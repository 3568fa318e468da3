"""Estimates by kind of task; kinds are named by callers, so bounded."""

from __future__ import annotations

from sardineferry.decision.estimate import Estimate

__all__ = ["KIND_LIMIT", "estimate_of"]

KIND_LIMIT = 1_000


def estimate_of(
    estimates: dict[str, Estimate], kind: str, start: float, weight: float
) -> Estimate:
    """Return the estimate of a kind; the oldest is dropped beyond the limit."""
    found = estimates.get(kind)
    if found is not None:
        return found
    if len(estimates) >= KIND_LIMIT:
        del estimates[next(iter(estimates))]
    estimates[kind] = Estimate(start, weight)
    return estimates[kind]
