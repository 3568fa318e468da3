"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["MAX_FRAME_BYTES", "FrameError", "FrameReader", "encode_frame"]

# Size of the length prefix, which is in network byte order.
LENGTH_BYTES = 4
# Leaves room for the largest contents: a configuration, of which the store
# accepts up to 256 KiB, or a batch of jobs from an HTTP request to a
# ``sardineferry.entry`` process, whose body may have 8 MiB.
MAX_FRAME_BYTES = 16 * 1024 * 1024


class FrameError(Exception):
    """The received bytes are not valid frames."""


def encode_frame(frame: bytes) -> bytes:
    """Return a frame with its length prefix."""
    return len(frame).to_bytes(LENGTH_BYTES) + frame


class FrameReader:
    """Splits a received byte stream into frames."""

    __slots__ = ("max_frame_bytes", "unparsed")

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Start at a frame boundary; the limit can be changed later."""
        self.max_frame_bytes = max_frame_bytes
        self.unparsed = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the frames that these bytes complete, then keep the rest.

        The limit may change between two frames.

        Raises:
            FrameError: A length exceeds ``max_frame_bytes``.

        """
        received: bytes | bytearray = data
        if self.unparsed:
            # Extended in place: copying what is there already, for each piece of a
            # large frame, would take quadratic time.
            self.unparsed += data
            received = self.unparsed
        position = 0
        size = len(received)
        while size - position >= LENGTH_BYTES:
            body_start = position + LENGTH_BYTES
            length = int.from_bytes(received[position:body_start])
            if length > self.max_frame_bytes:
                raise FrameError(f"frame of {length} bytes is too long")
            if size - body_start < length:
                break
            position = body_start + length
            yield bytes(received[body_start:position])
        if received is self.unparsed:
            del self.unparsed[:position]
        else:
            self.unparsed += received[position:]
