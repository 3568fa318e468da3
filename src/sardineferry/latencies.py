"""Counts latencies by outcome, in buckets."""

from __future__ import annotations

from bisect import bisect_left

__all__ = ["BUCKETS_MS", "LatencyTable"]

# From a fifth of a typical task to three response-time goals of the longest.
BUCKETS_MS = (20, 50, 100, 200, 300, 500, 800, 1_200, 2_000, 3_000, 5_000, 10_000)


class LatencyTable:
    """Histograms by what took the time and its outcome."""

    def __init__(self) -> None:
        """Start without observations."""
        # Counts by bucket, the last one without a bound.
        self.counts: dict[tuple[str, str], list[int]] = {}
        self.sums_ms: dict[tuple[str, str], int] = {}

    def observe(self, what: str, outcome: str, elapsed_ms: int) -> None:
        """Count one latency."""
        key = (what, outcome)
        counts = self.counts.get(key)
        if counts is None:
            counts = [0] * (len(BUCKETS_MS) + 1)
            self.counts[key] = counts
            self.sums_ms[key] = 0
        counts[bisect_left(BUCKETS_MS, elapsed_ms)] += 1
        self.sums_ms[key] += elapsed_ms
