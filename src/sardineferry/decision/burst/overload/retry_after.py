"""Computes when a refused caller should submit its job again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import admission

if TYPE_CHECKING:
    from random import Random

__all__ = ["jittered_retry_after_ms"]

# Callers that are refused together return over this share of the forecast wait,
JITTER_SHARE = 0.5
# and over at least this time: the Retry-After header holds whole seconds.
MIN_JITTER_MS = 1_000


def jittered_retry_after_ms(wait_ms: float, random: Random) -> int:
    """Return the retry delay for a forecast wait, with random jitter added."""
    delay_ms = admission.retry_after_ms(wait_ms)
    return delay_ms + int(
        random.uniform(0, max(MIN_JITTER_MS, JITTER_SHARE * delay_ms))
    )
