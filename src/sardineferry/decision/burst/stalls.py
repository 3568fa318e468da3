"""Finds runs that make no progress, or far too little.

Answers workers that hang or turn slow while they look healthy: their reports
go on, and only the progress of what they run shows it.
"""

from __future__ import annotations

__all__ = ["is_stalled"]

# Progress is listed in whole percent: a run that has none after this would
# take 50 s or more.
NO_PROGRESS_TIMEOUT_MS = 500
# Before this the listed percent says too little about short runs.
MIN_ELAPSED_MS = 300
# Sound workers differ 2 to 3 times in speed, estimates are off by 40%.
STALL_SLOWDOWN_FACTOR = 4.0


def is_stalled(percent: int, elapsed_ms: int, estimate_ms: int, movable: bool) -> bool:
    """Tell whether a run is better stopped and repeated elsewhere.

    A run that is not movable has been slow elsewhere, so that its work is
    larger than estimated: it is given up only without any progress.
    """
    if percent <= 0:
        return elapsed_ms >= NO_PROGRESS_TIMEOUT_MS
    if not movable or elapsed_ms < MIN_ELAPSED_MS:
        return False
    expected_ms = 100 * elapsed_ms / percent
    return expected_ms > STALL_SLOWDOWN_FACTOR * max(estimate_ms, MIN_ELAPSED_MS)
