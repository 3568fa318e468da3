"""The writing half of a link, and its end."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from sardineferry.logs import part_logger
from sardineferry.transport.stream import StreamError

if TYPE_CHECKING:
    from sardineferry.transport.outbox import Outbox
    from sardineferry.transport.stream import FrameStream

__all__ = ["end_link", "serve_outbox"]

# For what is queued when the other end has sent its last frame: a round trip
# within a region takes 3 ms.
FLUSH_TIMEOUT_S = 0.5

logger = part_logger("link")


def serve_outbox(stream: FrameStream, outbox: Outbox) -> threading.Thread:
    """Start a thread that writes what is queued until the outbox is closed."""
    thread = threading.Thread(target=write, args=(stream, outbox), daemon=True)
    thread.start()
    return thread


def write(stream: FrameStream, outbox: Outbox) -> None:
    """Write frames; a connection that breaks ends both directions."""
    try:
        for frame in outbox.drain():
            stream.write(frame)
        stream.finish()
    except StreamError as error:
        logger.debug("Writing a link fails: {}.", error)
        stream.abort()


def end_link(stream: FrameStream, outbox: Outbox, writer: threading.Thread) -> None:
    """Write what is queued, for a bounded time, and free the connection."""
    outbox.close()
    writer.join(FLUSH_TIMEOUT_S)
    stream.abort()
    writer.join()
    stream.close()
