"""Budgets that limit extra attempts to a share of successes."""

from __future__ import annotations

__all__ = ["Budget", "backoff_ms"]

BUDGET_CAP = 100.0
INITIAL_TOKENS = 10.0
BACKOFF_BASE_MS = 20
BACKOFF_CAP_MS = 1_000


class Budget:
    """Tokens earned by successes and spent on retries or hedges."""

    def __init__(self, tokens: float = INITIAL_TOKENS) -> None:
        """Start with a few tokens so that a new process can retry."""
        self.tokens = tokens

    def earn(self, ratio: float) -> None:
        """Add the share that one success earns."""
        self.tokens = min(BUDGET_CAP, self.tokens + ratio)

    def spend(self) -> bool:
        """Take one token; tell whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff_ms(failures: int) -> int:
    """Return the delay before the next attempt, capped exponential.

    The cap is reached directly after ten failures, which also bounds the
    shift (see "ulak Reliability & Operations", Retry Strategies).
    """
    if failures > 10:
        return BACKOFF_CAP_MS
    return int(min(BACKOFF_CAP_MS, BACKOFF_BASE_MS << failures))
