"""One end of a link: a connection that carries frames of encoded messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.logs import part_logger
from sardineferry.loop import Connection
from sardineferry.messages.codec import CodecError
from sardineferry.transport.frames import MAX_FRAME_BYTES
from sardineferry.transport.frames import FrameError
from sardineferry.transport.frames import FrameReader
from sardineferry.transport.frames import encode_frame

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from sardineferry.loop import ClientGuard
    from sardineferry.loop import IoLoop
    from sardineferry.messages.codec import Codec

__all__ = ["Link"]

logger = part_logger("link")


class Link:
    """Exchanges messages with the other end until either end closes the link.

    ``on_messages`` gets the messages of each received frame. ``on_closed`` is
    called once, whichever end closes the link, and also after an error. ``on_rejected``
    gets each message that could not be encoded and was therefore not sent.
    """

    __slots__ = (
        "account",
        "bytes_sent",
        "codec",
        "connection",
        "frame_reader",
        "frames_sent",
        "guard",
        "is_closed",
        "name",
        "on_closed",
        "on_messages",
        "on_rejected",
    )

    def __init__(
        self,
        loop: IoLoop,
        connected_socket: socket.socket,
        codec: Codec,
        name: str,
        on_messages: Callable[[Link, list[object]], None],
        on_closed: Callable[[Link], None],
        on_rejected: Callable[[Link, object], None],
        guard: ClientGuard | None = None,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Take over a connected socket.

        With a ``guard``, the link's incomplete frame and unsent bytes count in the
        process's byte budget. ``max_frame_bytes`` limits received frames.

        Raises:
            OSError: The peer has already closed the connection.

        """
        self.codec = codec
        self.name = name
        self.on_messages = on_messages
        self.on_closed = on_closed
        self.on_rejected = on_rejected
        self.frame_reader = FrameReader(max_frame_bytes)
        self.is_closed = False
        self.frames_sent = 0
        self.bytes_sent = 0
        self.connection = Connection(loop, connected_socket, self)
        self.guard = guard
        self.account = None if guard is None else guard.open_account(self)
        if guard is not None:
            self.connection.on_flushed = self.update_account

    def data_received(self, data: bytes) -> None:
        """Pass on the messages of complete frames; abort if bytes are invalid."""
        try:
            for frame in self.frame_reader.feed(data):
                self.on_messages(self, self.codec.decode(frame))
        except (CodecError, FrameError) as error:
            if self.guard is not None and not self.name:
                # Anybody can send this, so it is counted instead of logged.
                self.guard.count_refusal("bad_link")
            else:
                logger.warning("Link to %s sent a bad frame: %s.", self.name, error)
            self.abort()
            return
        self.update_account()

    def update_account(self) -> None:
        """Account for the incomplete frame and the bytes that the peer did not read."""
        if self.guard is None or self.account is None or self.is_closed:
            return
        held = len(self.frame_reader.unparsed) + len(self.connection.write_buffer)
        if held or self.account.held_bytes:
            self.guard.hold(self.account, held, unfinished=held > 0)

    def evict(self) -> None:
        """Close the link, as the process's byte budget is exhausted."""
        self.abort()

    def input_ended(self, reason: str) -> None:
        """Close the link: the other end has closed it, or it failed."""
        if reason:
            logger.debug("Link to %s failed: %s.", self.name, reason)
        self.connection.close()
        self.report_closed()

    def send(self, messages: list[object]) -> None:
        """Send messages as one frame.

        The first message on a link, which names the sender, has a frame of its own:
        the other end accepts only a small one before it knows the sender.
        """
        if not self.frames_sent and len(messages) > 1:
            self.send_frame(messages[:1])
            messages = messages[1:]
        self.send_frame(messages)
        self.update_account()

    def send_frame(self, messages: list[object]) -> None:
        """Send messages as one frame, without those that can't be encoded."""
        try:
            frame = self.codec.encode(messages)
        except CodecError as error:
            logger.error("A message to %s is not sent: %s.", self.name, error)
            batch = self.codec.split(messages)
            for message in batch.rejected:
                self.on_rejected(self, message)
            if not batch.encodable:
                return
            frame = self.codec.encode(batch.encodable)
        data = encode_frame(frame)
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
            if self.guard is not None and self.account is not None:
                self.guard.close_account(self.account)
            self.on_closed(self)
