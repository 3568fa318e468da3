"""Histograms of latencies."""

from __future__ import annotations

from bisect import bisect_left

__all__ = ["BUCKET_BOUNDS_MS", "LatencyHistograms"]

# Upper bounds of the buckets: from a fifth of a typical task's time to three times
# the response-time goal of the longest tasks.
BUCKET_BOUNDS_MS = (20, 50, 100, 200, 300, 500, 800, 1_200, 2_000, 3_000, 5_000, 10_000)


class LatencyHistograms:
    """One histogram for each pair of what was timed and its outcome."""

    def __init__(self) -> None:
        """Start without observations."""
        # Counts by bucket; the last bucket has no upper bound.
        self.counts: dict[tuple[str, str], list[int]] = {}
        self.sums_ms: dict[tuple[str, str], int] = {}

    def observe(self, what: str, outcome: str, elapsed_ms: int) -> None:
        """Add one latency to its histogram."""
        key = (what, outcome)
        counts = self.counts.get(key)
        if counts is None:
            counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
            self.counts[key] = counts
            self.sums_ms[key] = 0
        counts[bisect_left(BUCKET_BOUNDS_MS, elapsed_ms)] += 1
        self.sums_ms[key] += elapsed_ms
