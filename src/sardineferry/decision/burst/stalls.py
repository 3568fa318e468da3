"""Detects runs that make no progress or too little.

A worker that hangs or becomes slow may go on sending heartbeats; only the
progress of its runs shows the fault.
"""

from __future__ import annotations

__all__ = ["is_stalled"]

# Progress is reported in whole percent: a run below 1% after this time would take
# 50 s or more.
NO_PROGRESS_TIMEOUT_MS = 500
# The percentage of a run that is younger than this is too imprecise. Shorter
# estimates count as this long.
MIN_ELAPSED_MS = 300
# Healthy workers differ in speed by a factor of 2 to 3, and estimates are off by
# 40%; a stalled run must exceed both.
STALL_SLOWDOWN_FACTOR = 4.0


def is_stalled(percent: int, elapsed_ms: int, estimate_ms: int, movable: bool) -> bool:
    """Return whether to stop a run so that it can be retried elsewhere.

    A run is not movable if a task of its order has been stopped as stalled before.
    Its work is then probably larger than estimated, so it is stopped only if it makes
    no progress at all.
    """
    if percent <= 0:
        return elapsed_ms >= NO_PROGRESS_TIMEOUT_MS
    if not movable or elapsed_ms < MIN_ELAPSED_MS:
        return False
    expected_ms = 100 * elapsed_ms / percent
    return expected_ms > STALL_SLOWDOWN_FACTOR * max(estimate_ms, MIN_ELAPSED_MS)
