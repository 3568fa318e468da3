"""Keeps one link to an address open, reconnecting with a capped delay."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.budget import backoff_ms
from sardineferry.decision.events import LinkDown
from sardineferry.decision.events import LinkUp
from sardineferry.logs import part_logger
from sardineferry.messages import CodecError
from sardineferry.messages import decode_frame
from sardineferry.transport.link import end_link
from sardineferry.transport.link import serve_outbox
from sardineferry.transport.outbox import Outbox
from sardineferry.transport.stream import FrameStream
from sardineferry.transport.stream import StreamError
from sardineferry.transport.stream import split_address

if TYPE_CHECKING:
    from random import Random

    from sardineferry.mailbox import Mailbox
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["DEFAULT_REDIAL", "Dialer", "Redial"]

JOIN_TIMEOUT_S = 3.0

logger = part_logger("dialer")


class Redial(NamedTuple):
    """How long a connection may take to open, and to wait between tries."""

    connect_timeout_s: float = 2.0
    delay_cap_ms: int = 1_000


DEFAULT_REDIAL = Redial()


class Dialer:
    """A thread that owns the link to one address."""

    def __init__(
        self,
        address: str,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
        redial: Redial = DEFAULT_REDIAL,
    ) -> None:
        """Name the address, which also names the link."""
        self.redial = redial
        self.address = address
        self.mailbox = mailbox
        self.links = links
        self.random = random
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Start dialling."""
        self.thread.start()

    def stop(self) -> None:
        """Dial no more; the open link ends when its outbox is closed."""
        self.stopped.set()

    def join(self) -> None:
        """Wait, for a bounded time, until the link has ended."""
        self.thread.join(JOIN_TIMEOUT_S)

    def run(self) -> None:
        """Connect again and again until stopped."""
        failures = 0
        while not self.stopped.is_set():
            connected = self.connect()
            failures = 0 if connected else failures + 1
            delay_s = min(backoff_ms(failures), self.redial.delay_cap_ms) / 1_000
            self.stopped.wait(delay_s * self.random.uniform(0.5, 1.0))

    def connect(self) -> bool:
        """Hold one connection until it ends; tell whether it was made."""
        try:
            connection = socket.create_connection(
                split_address(self.address), self.redial.connect_timeout_s
            )
            stream = FrameStream(connection)
        except OSError as error:
            logger.debug("Link to {} can't be opened: {}.", self.address, error)
            return False
        self.exchange(stream)
        return True

    def exchange(self, stream: FrameStream) -> None:
        """Pass messages on until the stream ends."""
        outbox = Outbox()
        outbox.abort = stream.abort
        self.links.open(self.address, outbox)
        self.mailbox.put(LinkUp(self.address))
        writer = serve_outbox(stream, outbox)
        logger.info("Link to {} opened.", self.address)
        try:
            for frame in stream.read():
                self.mailbox.put_all(decode_frame(frame), self.address)
        except CodecError as error:
            logger.warning("Link to {} sent a bad frame: {}.", self.address, error)
        except StreamError as error:
            logger.debug("Link to {} broke: {}.", self.address, error)
            stream.abort()
        self.links.close(self.address, outbox)
        logger.info("Link to {} closed.", self.address)
        self.mailbox.put(LinkDown(self.address))
        end_link(stream, outbox, writer)
