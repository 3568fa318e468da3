"""Accepts links; the first message on each gives its name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import SendRejected
from sardineferry.logs import part_logger
from sardineferry.loop import MAX_UNREAD_BYTES
from sardineferry.loop import Acceptor
from sardineferry.loop import ClientGuard
from sardineferry.messages.codec import CodecError
from sardineferry.transport.frames import MAX_FRAME_BYTES
from sardineferry.transport.link import Link

if TYPE_CHECKING:
    import socket

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.messages.codec import Codec
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["UNREAD_LINK_BYTES", "LinkListener"]

# Time limit for the first message on a new link, which the other end sends as soon
# as it is connected.
NAME_TIMEOUT_S = 5.0
# Limits on links before their first message. It has a frame of its own and is short;
# processes of earlier versions send a batch with it.
MAX_UNNAMED_FRAME_BYTES = 256 * 1024
# More than the agents of a deployment, which may all connect at the same time.
MAX_UNNAMED_LINKS = 256
# Links that wait to be accepted. All agents may connect at the same time.
LINK_BACKLOG = 512
# What the system may hold for links without a name and those that are not accepted.
UNREAD_LINK_BYTES = (MAX_UNNAMED_LINKS + LINK_BACKLOG) * MAX_UNREAD_BYTES

logger = part_logger("listener")


class LinkListener:
    """Accepts links and puts the messages that they receive into a mailbox."""

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        codec: Codec,
        mailbox: Mailbox,
        links: LinkRegistry,
        guard: ClientGuard | None = None,
    ) -> None:
        """Bind ``host:port``; port 0 lets the system choose one.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.codec = codec
        self.mailbox = mailbox
        self.links = links
        self.guard = ClientGuard(loop) if guard is None else guard
        # Links without a name, in the order in which they were accepted.
        self.unnamed: dict[Link, None] = {}
        self.acceptor = Acceptor(loop, address, self.on_accept, LINK_BACKLOG)
        self.port = self.acceptor.port

    def start(self) -> None:
        """Start accepting links."""
        self.acceptor.start()

    def stop(self) -> None:
        """Stop accepting links; open ones stay open."""
        self.acceptor.stop()

    def on_accept(self, connected_socket: socket.socket) -> None:
        """Open a link, which has no name until its first message."""
        link = Link(
            self.loop,
            connected_socket,
            self.codec,
            "",
            self.on_messages,
            self.on_link_closed,
            self.on_rejected,
            self.guard,
            MAX_UNNAMED_FRAME_BYTES,
        )
        self.unnamed[link] = None
        if len(self.unnamed) > MAX_UNNAMED_LINKS:
            # The oldest has most probably stopped: names are sent at once.
            self.guard.count_refusal("unnamed_links")
            next(iter(self.unnamed)).abort()
        self.loop.call_later(NAME_TIMEOUT_S, lambda: self.abort_if_unnamed(link))

    def abort_if_unnamed(self, link: Link) -> None:
        """Abort a link that has not received its first message."""
        if not link.name and not link.is_closed:
            self.guard.count_refusal("unnamed_link_timeout")
            link.abort()

    def on_messages(self, link: Link, messages: list[object]) -> None:
        """Put messages into the mailbox; the first one gives the link its name.

        Messages on a link that a newer one has replaced are dropped.

        Raises:
            CodecError: The first message does not name its sender.

        """
        if not link.name:
            link.name = self.codec.link_name(messages[0]) if messages else ""
            if not link.name:
                raise CodecError("the first message must name its sender")
            del self.unnamed[link]
            link.frame_reader.max_frame_bytes = MAX_FRAME_BYTES
            if link.account is not None:
                link.account.is_identified = True
                self.guard.enlarge_buffer(link.account, link.connection)
            self.links.add(link.name, link)
            logger.info("Link to %s opened.", link.name)
        if self.links.is_current(link.name, link):
            self.mailbox.put_all(messages, link.name)

    def on_rejected(self, link: Link, message: object) -> None:
        """Report that a message was not sent, as it can't be encoded."""
        self.mailbox.put(SendRejected(link.name, message))

    def on_link_closed(self, link: Link) -> None:
        """Report that a link has closed, unless a newer one has replaced it."""
        self.unnamed.pop(link, None)
        if link.name and self.links.remove(link.name, link):
            logger.info("Link to %s closed.", link.name)
            self.mailbox.put(LinkDown(link.name))
