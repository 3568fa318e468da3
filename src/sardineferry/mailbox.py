"""The queue of events for a core, each with its sender's name."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Mailbox"]


class Mailbox:
    """An unbounded queue of events, for the loop's thread alone.

    Whoever puts events in has to bound their number. Other threads must use
    ``IoLoop.post`` instead.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.events: deque[tuple[object, str]] = deque()

    def put(self, event: object, sender: str = "") -> None:
        """Append an event; ``sender`` is empty if it comes from no link."""
        self.events.append((event, sender))

    def put_all(self, events: Iterable[object], sender: str) -> None:
        """Append several events of one sender, in order."""
        self.events.extend((event, sender) for event in events)

    def take(self) -> tuple[object, str] | None:
        """Remove and return the oldest event and its sender, or None if empty."""
        return self.events.popleft() if self.events else None
