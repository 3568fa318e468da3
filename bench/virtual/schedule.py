"""A queue of actions that run at a virtual time, kept in microseconds."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["US_PER_MS", "Schedule"]

US_PER_MS = 1_000


class Schedule:
    """Actions in the order of their due times, then of insertion."""

    def __init__(self) -> None:
        """Create an empty queue at time zero."""
        self.now_us = 0
        self.heap: list[tuple[int, int, Callable[[], object]]] = []
        self.sequence = itertools.count()

    def now_ms(self) -> int:
        """Return the virtual time in whole milliseconds."""
        return self.now_us // US_PER_MS

    def after_ms(self, delay_ms: float, action: Callable[[], object]) -> None:
        """Run an action after a delay."""
        due_us = self.now_us + int(delay_ms * US_PER_MS)
        heapq.heappush(self.heap, (due_us, next(self.sequence), action))

    def run_until_ms(self, end_ms: float) -> None:
        """Run the actions due by a time, then set the clock to it."""
        end_us = int(end_ms * US_PER_MS)
        while self.heap and self.heap[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self.heap)
            action()
        self.now_us = end_us
