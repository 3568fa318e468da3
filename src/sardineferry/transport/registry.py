"""The open links of a process by name."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.messages import WireMessage
    from sardineferry.transport.outbox import Outbox

__all__ = ["LinkRegistry"]


class LinkRegistry:
    """Outboxes by link name; a newer link of a name replaces the older."""

    def __init__(self) -> None:
        """Start without links."""
        self.lock = threading.Lock()
        self.outboxes: dict[str, Outbox] = {}

    def open(self, name: str, outbox: Outbox) -> None:
        """Register a link and end the one that it replaces."""
        with self.lock:
            replaced = self.outboxes.get(name)
            self.outboxes[name] = outbox
        if replaced is not None:
            replaced.close()

    def close(self, name: str, outbox: Outbox) -> bool:
        """Remove a link; tell whether it was still the current one."""
        with self.lock:
            if self.outboxes.get(name) is not outbox:
                return False
            del self.outboxes[name]
            return True

    def is_current(self, name: str, outbox: Outbox) -> bool:
        """Tell whether the link was not replaced."""
        with self.lock:
            return self.outboxes.get(name) is outbox

    def send(self, name: str, messages: list[WireMessage]) -> bool:
        """Queue messages; false when there is no such link."""
        outbox = self.outboxes.get(name)
        if outbox is None:
            return False
        if outbox.put(messages):
            return True
        outbox.close()
        return False

    def abort(self, name: str) -> None:
        """End a link whose other end is silent."""
        outbox = self.outboxes.get(name)
        if outbox is not None:
            outbox.close()
            outbox.abort()

    def close_all(self) -> None:
        """End every link after what is queued."""
        with self.lock:
            outboxes = list(self.outboxes.values())
        for outbox in outboxes:
            outbox.close()
