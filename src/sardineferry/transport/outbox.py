"""Messages that wait to be sent on one link."""

from __future__ import annotations

import queue
import time
from typing import TYPE_CHECKING

from sardineferry.messages import encode_frame

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from sardineferry.messages import WireMessage

__all__ = ["Outbox"]

FRAME_LIMIT = 256
FRAME_GAP_S = 0.002
OUTBOX_LIMIT = 50_000


class Outbox:
    """An outgoing queue of batches, drained in frames by the link's writer."""

    def __init__(self) -> None:
        """Start empty and open."""
        self.waiting: queue.SimpleQueue[list[WireMessage] | None] = queue.SimpleQueue()
        self.frames = 0
        self.bytes = 0
        self.next_frame_s = 0.0
        # Ends the stream at once, without what is queued.
        self.abort: Callable[[], object] = self.close

    def put(self, messages: list[WireMessage]) -> bool:
        """Queue messages; false means that the link is too far behind."""
        if self.waiting.qsize() >= OUTBOX_LIMIT:
            return False
        self.waiting.put(messages)
        return True

    def close(self) -> None:
        """End the stream after what is queued."""
        self.waiting.put(None)

    def drain(self) -> Iterator[bytes]:
        """Yield frames until closed."""
        closed = False
        while not closed:
            messages = self.waiting.get()
            if messages is None:
                return
            self.wait_for_gap()
            batch = list(messages)
            closed = self.fill(batch)
            frame = encode_frame(batch)
            self.frames += 1
            self.bytes += len(frame)
            yield frame

    def wait_for_gap(self) -> None:
        """Let a frame that would follow another at once gather messages.

        The first frame after a pause leaves without delay.
        """
        wait_s = self.next_frame_s - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        self.next_frame_s = time.monotonic() + FRAME_GAP_S

    def fill(self, batch: list[WireMessage]) -> bool:
        """Add what else is queued to a batch; tell whether it was the end."""
        while len(batch) < FRAME_LIMIT:
            try:
                messages = self.waiting.get_nowait()
            except queue.Empty:
                return False
            if messages is None:
                return True
            batch.extend(messages)
        return False
