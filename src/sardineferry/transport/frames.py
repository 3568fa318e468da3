"""Frames on a byte stream, each after its length."""

from __future__ import annotations

__all__ = ["FrameError", "FrameReader", "frame_bytes"]

# Bytes of the length that precedes a frame, most significant first.
LENGTH_BYTES = 4
# The largest frames carry a configuration, of which the store takes 256 KiB,
# or a batch of jobs of 8 MiB on the product's own path.
FRAME_LIMIT_BYTES = 16 * 1024 * 1024


class FrameError(Exception):
    """The other end sent something else than frames."""


def frame_bytes(frame: bytes) -> bytes:
    """Return a frame as it is sent."""
    return len(frame).to_bytes(LENGTH_BYTES) + frame


class FrameReader:
    """Splits a byte stream into frames."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        """Start at the beginning of a frame."""
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes; return the frames that they complete.

        Raises:
            FrameError: A frame is too long.

        """
        if self.rest:
            data = self.rest + data
        frames = []
        position = 0
        size = len(data)
        while size - position >= LENGTH_BYTES:
            begin = position + LENGTH_BYTES
            length = int.from_bytes(data[position:begin])
            if length > FRAME_LIMIT_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            if size - begin < length:
                break
            position = begin + length
            frames.append(data[begin:position])
        self.rest = data[position:]
        return frames
