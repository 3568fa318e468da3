"""A circuit breaker that ejects a target on which all tasks fail.

While it is open, the target gets no tasks. After a cooldown a single task is
sent as a probe; its success closes the breaker (see "ulak Reliability &
Operations", Circuit Breaker).
"""

from __future__ import annotations

from sardineferry.charts import load_chart

__all__ = ["CircuitBreaker"]

# Failures in a row that open the breaker.
FAILURES_TO_OPEN = 3
# Each failed probe doubles the cooldown, up to the maximum.
INITIAL_COOLDOWN_MS = 1_000
MAX_COOLDOWN_MS = 30_000


class CircuitBreaker:
    """The circuit breaker of one target."""

    __slots__ = ("cooldown_ms", "failures", "opened_at_ms", "state")

    def __init__(self) -> None:
        """Start closed."""
        self.state = "closed"
        self.failures = 0
        self.opened_at_ms = 0
        self.cooldown_ms = INITIAL_COOLDOWN_MS

    def allows(self, now_ms: int) -> bool:
        """Return whether a task may be sent, as one of many or as a probe."""
        if self.state == "closed":
            return True
        if self.state == "probing":
            return False
        return now_ms - self.opened_at_ms >= self.cooldown_ms

    def record_sent(self) -> None:
        """Record that a task was sent; with an open breaker, the task is the probe."""
        if self.state == "open":
            self.advance("probe")

    def record_success(self) -> None:
        """Record a success, which closes the breaker."""
        self.failures = 0
        self.cooldown_ms = INITIAL_COOLDOWN_MS
        self.advance("succeed")

    def record_failure(self, now_ms: int, may_open: bool) -> bool:
        """Count a failure, and return whether it opened the breaker.

        ``may_open`` is false if failures must not open a closed breaker, for
        example because tasks of this kind also fail on other targets. A failed
        probe opens the breaker in any case.
        """
        self.failures += 1
        if self.state == "probing":
            self.cooldown_ms = min(MAX_COOLDOWN_MS, 2 * self.cooldown_ms)
            return self.open_breaker(now_ms)
        if self.state == "closed" and self.failures >= FAILURES_TO_OPEN and may_open:
            return self.open_breaker(now_ms)
        return False

    def open_breaker(self, now_ms: int) -> bool:
        """Open the breaker; always returns true."""
        self.opened_at_ms = now_ms
        self.advance("trip")
        return True

    def advance(self, event: str) -> None:
        """Apply an event of the health state chart.

        Raises:
            ChartError: The event is not allowed in the current state.

        """
        self.state = load_chart("health").advance(self.state, event)
