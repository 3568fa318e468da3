"""One end of a link: a connection that carries frames of encoded messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.logs import part_logger
from sardineferry.loop import Connection
from sardineferry.messages.codec import CodecError
from sardineferry.transport.frames import FrameError
from sardineferry.transport.frames import FrameReader
from sardineferry.transport.frames import encode_frame

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from sardineferry.loop import IoLoop
    from sardineferry.messages.codec import Codec

__all__ = ["Link"]

logger = part_logger("link")


class Link:
    """Exchanges messages with the other end until either end closes the link.

    ``on_messages`` gets the messages of each received frame. ``on_closed`` is
    called once, whichever end closes the link, and also after an error.
    """

    __slots__ = (
        "bytes_sent",
        "codec",
        "connection",
        "frame_reader",
        "frames_sent",
        "is_closed",
        "name",
        "on_closed",
        "on_messages",
    )

    def __init__(
        self,
        loop: IoLoop,
        connected_socket: socket.socket,
        codec: Codec,
        name: str,
        on_messages: Callable[[Link, list[object]], None],
        on_closed: Callable[[Link], None],
    ) -> None:
        """Take over a connected socket.

        Raises:
            OSError: The peer has already closed the connection.

        """
        self.codec = codec
        self.name = name
        self.on_messages = on_messages
        self.on_closed = on_closed
        self.frame_reader = FrameReader()
        self.is_closed = False
        self.frames_sent = 0
        self.bytes_sent = 0
        self.connection = Connection(loop, connected_socket, self)

    def data_received(self, data: bytes) -> None:
        """Pass on the messages of complete frames; abort if bytes are invalid."""
        try:
            for frame in self.frame_reader.feed(data):
                self.on_messages(self, self.codec.decode(frame))
        except (CodecError, FrameError) as error:
            logger.warning("Link to %s sent a bad frame: %s.", self.name, error)
            self.abort()

    def input_ended(self, reason: str) -> None:
        """Close the link: the other end has closed it, or it failed."""
        if reason:
            logger.debug("Link to %s failed: %s.", self.name, reason)
        self.connection.close()
        self.report_closed()

    def send(self, messages: list[object]) -> None:
        """Send messages as one frame."""
        data = encode_frame(self.codec.encode(messages))
        self.frames_sent += 1
        self.bytes_sent += len(data)
        self.connection.write(data)

    def close(self) -> None:
        """Close the link after sending what is buffered."""
        self.connection.close_after_flush()
        self.report_closed()

    def abort(self) -> None:
        """Close the link at once, without sending what is buffered."""
        self.connection.close()
        self.report_closed()

    def report_closed(self) -> None:
        """Call ``on_closed``, once."""
        if not self.is_closed:
            self.is_closed = True
            self.on_closed(self)
