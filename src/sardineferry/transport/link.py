"""One end of a link: frames of messages on a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.logs import part_logger
from sardineferry.loop import Connection
from sardineferry.messages.codec import CodecError
from sardineferry.transport.frames import FrameError
from sardineferry.transport.frames import FrameReader
from sardineferry.transport.frames import frame_bytes

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from sardineferry.loop import IoLoop
    from sardineferry.messages.codec import Codec

__all__ = ["Link"]

logger = part_logger("link")


class Link:
    """Messages both ways until either end leaves.

    ``took`` gets the messages of each frame, ``over`` is called once at the
    end, whatever ended it.
    """

    __slots__ = (
        "bytes_sent",
        "codec",
        "connection",
        "frames_sent",
        "is_over",
        "name",
        "over",
        "reader",
        "took",
    )

    def __init__(
        self,
        loop: IoLoop,
        connected: socket.socket,
        codec: Codec,
        name: str,
        took: Callable[[Link, list[object]], None],
        over: Callable[[Link], None],
    ) -> None:
        """Take a connected socket.

        Raises:
            OSError: The connection is gone already.

        """
        self.codec = codec
        self.name = name
        self.took = took
        self.over = over
        self.reader = FrameReader()
        self.is_over = False
        self.frames_sent = 0
        self.bytes_sent = 0
        self.connection = Connection(loop, connected, self)

    def received(self, data: bytes) -> None:
        """Hand on the messages of whole frames; bad bytes end the link."""
        try:
            for frame in self.reader.feed(data):
                self.took(self, self.codec.decode(frame))
        except (CodecError, FrameError) as error:
            logger.warning("Link to %s sent a bad frame: %s.", self.name, error)
            self.abort()

    def ended(self, reason: str) -> None:
        """End this direction as well."""
        if reason:
            logger.debug("Link to %s broke: %s.", self.name, reason)
        self.connection.close()
        self.report_over()

    def send(self, messages: list[object]) -> None:
        """Send messages as one frame."""
        data = frame_bytes(self.codec.encode(messages))
        self.frames_sent += 1
        self.bytes_sent += len(data)
        self.connection.write(data)

    def close(self) -> None:
        """End the link after what is on its way."""
        self.connection.finish()
        self.report_over()

    def abort(self) -> None:
        """End the link at once."""
        self.connection.close()
        self.report_over()

    def report_over(self) -> None:
        """Report the end, once."""
        if not self.is_over:
            self.is_over = True
            self.over(self)
