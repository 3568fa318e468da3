"""Ejects a target that fails everything, and probes it back.

A circuit breaker with one probe at a time, as in "ulak Reliability &
Operations" (Circuit Breaker). A failure counts against the target only when
tasks of the same kind succeed elsewhere.
"""

from __future__ import annotations

from sardineferry.charts import load_chart

__all__ = ["Health"]

TRIP_FAILURES = 3
COOLDOWN_MS = 1_000
COOLDOWN_CAP_MS = 30_000


class Health:
    """The breaker of one target."""

    __slots__ = ("cooldown_ms", "failures", "opened_at_ms", "state")

    def __init__(self) -> None:
        """Start closed."""
        self.state = "closed"
        self.failures = 0
        self.opened_at_ms = 0
        self.cooldown_ms = COOLDOWN_MS

    def allows(self, now_ms: int) -> bool:
        """Tell whether a task may be sent; an open breaker needs a cooldown."""
        if self.state == "closed":
            return True
        if self.state == "probing":
            return False
        return now_ms - self.opened_at_ms >= self.cooldown_ms

    def note_sent(self) -> None:
        """Record that a task was sent: on an open breaker it is the probe."""
        if self.state == "open":
            self.advance("probe")

    def note_success(self) -> None:
        """Close the breaker."""
        self.failures = 0
        self.cooldown_ms = COOLDOWN_MS
        self.advance("succeed")

    def note_failure(self, now_ms: int, may_trip: bool) -> bool:
        """Count a failure; tell whether the breaker opened by it."""
        self.failures += 1
        if self.state == "probing":
            self.cooldown_ms = min(COOLDOWN_CAP_MS, 2 * self.cooldown_ms)
            return self.trip(now_ms)
        if self.state == "closed" and self.failures >= TRIP_FAILURES and may_trip:
            return self.trip(now_ms)
        return False

    def trip(self, now_ms: int) -> bool:
        """Open the breaker."""
        self.opened_at_ms = now_ms
        self.advance("trip")
        return True

    def advance(self, event: str) -> None:
        """Move along the chart."""
        self.state = load_chart("health").advance(self.state, event)
