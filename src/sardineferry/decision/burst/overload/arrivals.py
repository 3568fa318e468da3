"""Measures how much work of each priority arrives.

More urgent jobs that arrive while a job waits are served before it. A forecast without
them admits jobs that are given up after a wait.
"""

from __future__ import annotations

import math

__all__ = ["ArrivalRates"]

# The time over which arrivals are averaged. Bursts begin at once and last seconds; a
# tenth of a second holds only a few jobs of an entry.
AVERAGED_MS = 500.0


class ArrivalRates:
    """The work that arrives per ms by priority, averaged exponentially."""

    def __init__(self) -> None:
        """Create it without arrivals."""
        # The decayed sum of arrived work by priority, and when it was decayed.
        self.sums: dict[int, float] = {}
        self.decayed_ms = 0

    def add(self, priority: int, work: float, now_ms: int) -> None:
        """Add an admitted job."""
        self.decay(now_ms)
        self.sums[priority] = self.sums.get(priority, 0.0) + work

    def decay(self, now_ms: int) -> None:
        """Let earlier arrivals count less."""
        factor = math.exp((self.decayed_ms - now_ms) / AVERAGED_MS)
        self.decayed_ms = now_ms
        for priority in self.sums:
            self.sums[priority] *= factor

    def rate_before(self, priority: int, now_ms: int) -> float:
        """Return the work per ms that arrives and is more urgent than this."""
        self.decay(now_ms)
        return (
            sum(work for urgent, work in self.sums.items() if urgent < priority)
            / AVERAGED_MS
        )
