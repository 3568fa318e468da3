"""Accepts links: one connection each, named by its first message."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from sardineferry.decision.events import LinkDown
from sardineferry.logs import part_logger
from sardineferry.messages import CodecError
from sardineferry.messages import decode_frame
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.wire import Announce
from sardineferry.messages.wire import PeerHello
from sardineferry.transport.link import end_link
from sardineferry.transport.link import serve_outbox
from sardineferry.transport.outbox import Outbox
from sardineferry.transport.stream import FrameStream
from sardineferry.transport.stream import StreamError
from sardineferry.transport.stream import split_address

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.mailbox import Mailbox
    from sardineferry.messages import WireMessage
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["Listener", "ListenerError"]

# Connections that wait to be accepted: all agents may dial at once.
BACKLOG = 1_024

logger = part_logger("listener")


class ListenerError(Exception):
    """The address can't be listened on."""


class Listener:
    """A listening socket whose links feed the core's mailbox."""

    def __init__(self, address: str, mailbox: Mailbox, links: LinkRegistry) -> None:
        """Bind the address; port 0 lets the system choose.

        Raises:
            ListenerError: The address can't be bound.

        """
        self.mailbox = mailbox
        self.links = links
        try:
            self.socket = socket.create_server(split_address(address), backlog=BACKLOG)
        except OSError as error:
            raise ListenerError(f"cannot listen on {address}") from error
        self.port: int = self.socket.getsockname()[1]
        self.thread = threading.Thread(target=self.accept, name="accept", daemon=True)

    def start(self) -> None:
        """Accept links."""
        self.thread.start()

    def stop(self) -> None:
        """Accept no more links; those that are open end with their outboxes."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            logger.debug("Listening socket was closed before: {}.", error)
        self.socket.close()

    def accept(self) -> None:
        """Give each connection a thread that reads it."""
        while True:
            try:
                connection, _peer = self.socket.accept()
                stream = FrameStream(connection)
            except OSError as error:
                if self.socket.fileno() < 0:
                    return
                logger.warning("Accepting a link fails: {}.", error)
                continue
            reader = threading.Thread(target=self.serve, args=(stream,), daemon=True)
            reader.start()

    def serve(self, stream: FrameStream) -> None:
        """Serve one link until it ends."""
        try:
            frames = stream.read()
            messages = decode_frame(next(frames))
            name = name_of(messages)
        except (StopIteration, CodecError, StreamError) as error:
            logger.warning("Rejected a link: {}.", error)
            stream.close()
            return
        outbox = Outbox()
        outbox.abort = stream.abort
        self.links.open(name, outbox)
        self.mailbox.put_all(messages, name)
        writer = serve_outbox(stream, outbox)
        logger.info("Link to {} opened.", name)
        self.read(frames, name, outbox)
        self.end(name, outbox)
        end_link(stream, outbox, writer)

    def read(self, frames: Iterator[bytes], name: str, outbox: Outbox) -> None:
        """Pass messages on until the stream ends or is replaced."""
        try:
            for frame in frames:
                messages = decode_frame(frame)
                if not self.links.is_current(name, outbox):
                    return
                self.mailbox.put_all(messages, name)
        except CodecError as error:
            logger.warning("Link to {} sent a bad frame: {}.", name, error)
        except StreamError as error:
            logger.debug("Link to {} broke: {}.", name, error)

    def end(self, name: str, outbox: Outbox) -> None:
        """Report the end of a link that was not replaced."""
        if self.links.close(name, outbox):
            logger.info("Link to {} closed.", name)
            self.mailbox.put(LinkDown(name))


def name_of(messages: list[WireMessage]) -> str:
    """Return the link name that the first message gives.

    Raises:
        CodecError: The first message names nobody.

    """
    first = messages[0] if messages else None
    if isinstance(first, Announce):
        return first.agent
    if isinstance(first, WorkerAnnounce):
        return first.agent
    if isinstance(first, PeerHello):
        return f"entry/{first.entry}"
    raise CodecError("the first message must be an announcement or a greeting")
