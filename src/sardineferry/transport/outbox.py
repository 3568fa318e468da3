"""Messages that wait to be sent on one link."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING

from sardineferry.messages import encode_frame

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.messages import WireMessage

__all__ = ["Outbox"]

FRAME_LIMIT = 256
OUTBOX_LIMIT = 50_000


class Outbox:
    """An outgoing queue, drained in frames by the link's writer."""

    def __init__(self) -> None:
        """Start empty and open."""
        self.waiting: queue.SimpleQueue[WireMessage | None] = queue.SimpleQueue()
        self.frames = 0
        self.bytes = 0

    def put(self, message: WireMessage) -> bool:
        """Queue a message; false means that the link is too far behind."""
        if self.waiting.qsize() >= OUTBOX_LIMIT:
            return False
        self.waiting.put(message)
        return True

    def close(self) -> None:
        """End the stream after what is queued."""
        self.waiting.put(None)

    def drain(self) -> Iterator[bytes]:
        """Yield frames until closed."""
        while True:
            message = self.waiting.get()
            if message is None:
                return
            batch = [message]
            closed = self.fill(batch)
            frame = encode_frame(batch)
            self.frames += 1
            self.bytes += len(frame)
            yield frame
            if closed:
                return

    def fill(self, batch: list[WireMessage]) -> bool:
        """Add what else is queued to a batch; tell whether it was the end."""
        while len(batch) < FRAME_LIMIT:
            try:
                message = self.waiting.get_nowait()
            except queue.Empty:
                return False
            if message is None:
                return True
            batch.append(message)
        return False
