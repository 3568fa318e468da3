"""The inbox of a core: events with the name of their sender."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Mailbox"]


class Mailbox:
    """An unbounded queue that the loop's thread fills and empties.

    Senders bound what they put in. Other threads hand events to the loop.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.events: deque[tuple[object, str]] = deque()

    def put(self, event: object, sender: str = "") -> None:
        """Add an event."""
        self.events.append((event, sender))

    def put_all(self, events: Iterable[object], sender: str) -> None:
        """Add several events of one sender, in order."""
        self.events.extend((event, sender) for event in events)

    def take(self) -> tuple[object, str] | None:
        """Return the next event, or None."""
        return self.events.popleft() if self.events else None
