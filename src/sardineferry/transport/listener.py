"""Accepts links: one connection each, named by its first message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.common_events import LinkDown
from sardineferry.logs import part_logger
from sardineferry.loop import Acceptor
from sardineferry.messages.codec import CodecError
from sardineferry.transport.link import Link

if TYPE_CHECKING:
    import socket

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.messages.codec import Codec
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["LinkListener"]

# For the message that names a new link, which its other end sends at once.
NAME_TIMEOUT_S = 5.0

logger = part_logger("listener")


class LinkListener:
    """A listening socket whose links feed the core's mailbox."""

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        codec: Codec,
        mailbox: Mailbox,
        links: LinkRegistry,
    ) -> None:
        """Bind the address; port 0 lets the system choose.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.codec = codec
        self.mailbox = mailbox
        self.links = links
        self.acceptor = Acceptor(loop, address, self.accept)
        self.port = self.acceptor.port

    def start(self) -> None:
        """Accept links."""
        self.acceptor.start()

    def stop(self) -> None:
        """Accept no more links; those that are open go on."""
        self.acceptor.stop()

    def accept(self, connection: socket.socket) -> None:
        """Take a link that has no name yet."""
        link = Link(self.loop, connection, self.codec, "", self.take, self.end)
        self.loop.call_later(NAME_TIMEOUT_S, lambda: self.drop_nameless(link))

    def drop_nameless(self, link: Link) -> None:
        """End a link whose other end does not say who it is."""
        if not link.name and not link.is_over:
            logger.warning("Rejected a link: no name in time.")
            link.abort()

    def take(self, link: Link, messages: list[object]) -> None:
        """Pass messages on; the first one names the link.

        Raises:
            CodecError: The first message names nobody.

        """
        if not link.name:
            link.name = self.codec.link_name(messages[0]) if messages else ""
            if not link.name:
                raise CodecError("the first message must name its sender")
            self.links.open(link.name, link)
            logger.info("Link to %s opened.", link.name)
        if self.links.is_current(link.name, link):
            self.mailbox.put_all(messages, link.name)

    def end(self, link: Link) -> None:
        """Report the end of a link that was not replaced."""
        if link.name and self.links.close(link.name, link):
            logger.info("Link to %s closed.", link.name)
            self.mailbox.put(LinkDown(link.name))
