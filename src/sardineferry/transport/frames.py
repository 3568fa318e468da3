"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

__all__ = ["FrameError", "FrameReader", "encode_frame"]

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

    __slots__ = ("unparsed",)

    def __init__(self) -> None:
        """Start at a frame boundary."""
        self.unparsed = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that these bytes complete, and keep the rest.

        Raises:
            FrameError: A length exceeds ``MAX_FRAME_BYTES``.

        """
        if self.unparsed:
            data = self.unparsed + data
        frames = []
        position = 0
        size = len(data)
        while size - position >= LENGTH_BYTES:
            body_start = position + LENGTH_BYTES
            length = int.from_bytes(data[position:body_start])
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes is too long")
            if size - body_start < length:
                break
            position = body_start + length
            frames.append(data[body_start:position])
        self.unparsed = data[position:]
        return frames
