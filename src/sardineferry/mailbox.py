"""The inbox of a task: events with the name of their sender."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Mailbox"]


class Mailbox:
    """An unbounded, thread-safe queue; senders bound what they put in."""

    def __init__(self) -> None:
        """Start empty."""
        self.events: queue.SimpleQueue[tuple[object, str]] = queue.SimpleQueue()

    def put(self, event: object, sender: str = "") -> None:
        """Add an event; safe within a signal handler."""
        self.events.put((event, sender))

    def put_all(self, events: Iterable[object], sender: str) -> None:
        """Add several events of one sender, in order."""
        for event in events:
            self.events.put((event, sender))

    def take(self, timeout_s: float) -> tuple[object, str] | None:
        """Return the next event, or None after the timeout (seconds)."""
        try:
            return self.events.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None
