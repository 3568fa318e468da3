"""Keeps a link to one address open; reconnects with a capped backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.decision.common_events import SendRejected
from sardineferry.decision.retry_limits import backoff_ms
from sardineferry.logs import part_logger
from sardineferry.loop import dial
from sardineferry.transport.link import Link

if TYPE_CHECKING:
    import socket
    from random import Random

    from sardineferry.loop import IoLoop
    from sardineferry.loop import Timer
    from sardineferry.mailbox import Mailbox
    from sardineferry.messages.codec import Codec
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["DEFAULT_REDIAL_POLICY", "Dialer", "RedialPolicy"]

MS_PER_S = 1_000

logger = part_logger("dialer")


class RedialPolicy(NamedTuple):
    """Timeouts for opening a connection, and caps on the delay between attempts.

    The attempts take the timeouts in turn. ``delay_cap_ms`` applies to the first
    ``failures_before_idle`` failures in a row. After that the other end has probably
    gone for good, and ``idle_delay_cap_ms`` applies. Both act within the limit of
    ``backoff_ms``.
    """

    connect_timeouts_s: tuple[float, ...] = (2.0,)
    delay_cap_ms: int = 1_000
    failures_before_idle: int = 1_000_000
    idle_delay_cap_ms: int = 1_000


DEFAULT_REDIAL_POLICY = RedialPolicy()


class Dialer:
    """Opens a link to one address, and opens it again when it has closed."""

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        codec: Codec,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
        redial_policy: RedialPolicy = DEFAULT_REDIAL_POLICY,
    ) -> None:
        """Set the address, which is also the name of the link."""
        self.loop = loop
        self.codec = codec
        self.redial_policy = redial_policy
        self.address = address
        self.mailbox = mailbox
        self.links = links
        self.random = random
        self.stopped = False
        # Failed attempts in a row.
        self.failures = 0
        self.redial_timer: Timer | None = None

    def start(self) -> None:
        """Dial, unless the dialer is stopped."""
        self.redial_timer = None
        if not self.stopped:
            timeouts_s = self.redial_policy.connect_timeouts_s
            timeout_s = timeouts_s[self.failures % len(timeouts_s)]
            dial(self.loop, self.address, timeout_s, self.on_dialled)

    def redial_now(self) -> None:
        """End any wait for the next attempt: the other end is known to be back."""
        self.failures = 0
        if self.redial_timer is not None:
            self.redial_timer.cancel()
            self.start()

    def stop(self) -> None:
        """Stop dialling; an open link stays open."""
        self.stopped = True
        if self.redial_timer is not None:
            self.redial_timer.cancel()
            self.redial_timer = None

    def on_dialled(self, connected_socket: socket.socket | None, reason: str) -> None:
        """Open the link, or dial again later if connecting failed."""
        if connected_socket is None:
            logger.debug("Link to %s can't be opened: %s.", self.address, reason)
            self.failures += 1
            self.dial_later()
            return
        if self.stopped:
            connected_socket.close()
            return
        try:
            link = Link(
                self.loop,
                connected_socket,
                self.codec,
                self.address,
                self.on_messages,
                self.on_link_closed,
                self.on_rejected,
            )
        except OSError as error:
            connected_socket.close()
            self.on_dialled(None, str(error))
            return
        self.failures = 0
        self.links.add(self.address, link)
        self.mailbox.put(LinkUp(self.address))
        logger.info("Link to %s opened.", self.address)

    def on_messages(self, _link: Link, messages: list[object]) -> None:
        """Put received messages into the mailbox."""
        self.mailbox.put_all(messages, self.address)

    def on_rejected(self, link: Link, message: object) -> None:
        """Report that a message was not sent, as it can't be encoded."""
        self.mailbox.put(SendRejected(link.name, message))

    def on_link_closed(self, link: Link) -> None:
        """Report that the link has closed, and dial again."""
        self.links.remove(self.address, link)
        logger.info("Link to %s closed.", self.address)
        self.mailbox.put(LinkDown(self.address))
        self.dial_later()

    def dial_later(self) -> None:
        """Dial after a delay that doubles with each failure, up to the cap.

        A random factor keeps processes from dialling in step.
        """
        if self.stopped:
            return
        delay_ms = min(backoff_ms(self.failures), self.delay_cap_ms())
        delay_s = delay_ms / MS_PER_S * self.random.uniform(0.5, 1.0)
        self.redial_timer = self.loop.call_later(delay_s, self.start)

    def delay_cap_ms(self) -> int:
        """Return the cap on the delay between two attempts."""
        if self.failures <= self.redial_policy.failures_before_idle:
            return self.redial_policy.delay_cap_ms
        return self.redial_policy.idle_delay_cap_ms
