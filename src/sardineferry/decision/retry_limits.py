"""Limits on retries: a budget in proportion to successes, and backoff delays."""

from __future__ import annotations

__all__ = ["RetryBudget", "backoff_ms"]

MAX_TOKENS = 100.0
INITIAL_TOKENS = 10.0
BASE_BACKOFF_MS = 20
MAX_BACKOFF_MS = 1_000


class RetryBudget:
    """Tokens for retries or hedges, so that these stay a share of successes.

    Each success earns a fraction of a token; each extra attempt costs one.
    """

    def __init__(self, tokens: float = INITIAL_TOKENS) -> None:
        """Start with some tokens, so that a new process can retry at once."""
        self.tokens = tokens

    def earn(self, ratio: float) -> None:
        """Add the fraction of a token that one success earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def spend(self) -> bool:
        """Take one token, and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff_ms(failures: int) -> int:
    """Return the delay before the next attempt: exponential backoff with a cap.

    More than ten failures return the cap without shifting, as the shift would
    otherwise grow without bound (see "ulak Reliability & Operations", Retry
    Strategies).
    """
    if failures > 10:
        return MAX_BACKOFF_MS
    return int(min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << failures))
