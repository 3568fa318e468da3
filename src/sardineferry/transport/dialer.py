"""Keeps one link to an address open, reconnecting with a capped delay."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
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

__all__ = ["DEFAULT_REDIAL", "Dialer", "Redial"]

MS_PER_S = 1_000

logger = part_logger("dialer")


class Redial(NamedTuple):
    """How long a connection may take to open, and to wait between tries.

    After ``patient_tries`` failures the delay grows on, up to
    ``idle_delay_cap_ms``: the other end has probably left for good.
    """

    connect_timeout_s: float = 2.0
    delay_cap_ms: int = 1_000
    patient_tries: int = 1_000_000
    idle_delay_cap_ms: int = 1_000


DEFAULT_REDIAL = Redial()


class Dialer:
    """The link to one address."""

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        codec: Codec,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
        redial: Redial = DEFAULT_REDIAL,
    ) -> None:
        """Name the address, which also names the link."""
        self.loop = loop
        self.codec = codec
        self.redial = redial
        self.address = address
        self.mailbox = mailbox
        self.links = links
        self.random = random
        self.stopped = False
        self.failures = 0
        self.waiting: Timer | None = None

    def start(self) -> None:
        """Dial now."""
        self.waiting = None
        if not self.stopped:
            dial(self.loop, self.address, self.redial.connect_timeout_s, self.connected)

    def hasten(self) -> None:
        """Dial at once if it is waiting: the other end is known to be back."""
        self.failures = 0
        if self.waiting is not None:
            self.waiting.cancel()
            self.start()

    def stop(self) -> None:
        """Dial no more; the open link goes on until it is closed."""
        self.stopped = True
        if self.waiting is not None:
            self.waiting.cancel()
            self.waiting = None

    def connected(self, connection: socket.socket | None, reason: str) -> None:
        """Open the link, or dial again later."""
        if connection is None:
            logger.debug("Link to %s can't be opened: %s.", self.address, reason)
            self.failures += 1
            self.dial_later()
            return
        if self.stopped:
            connection.close()
            return
        try:
            link = Link(
                self.loop, connection, self.codec, self.address, self.take, self.end
            )
        except OSError as error:
            connection.close()
            self.connected(None, str(error))
            return
        self.failures = 0
        self.links.open(self.address, link)
        self.mailbox.put(LinkUp(self.address))
        logger.info("Link to %s opened.", self.address)

    def take(self, _link: Link, messages: list[object]) -> None:
        """Pass messages on."""
        self.mailbox.put_all(messages, self.address)

    def end(self, link: Link) -> None:
        """Report the end of the link, and dial again."""
        self.links.close(self.address, link)
        logger.info("Link to %s closed.", self.address)
        self.mailbox.put(LinkDown(self.address))
        self.dial_later()

    def dial_later(self) -> None:
        """Wait, longer after each failure, and not in step with others."""
        if self.stopped:
            return
        delay_ms = min(backoff_ms(self.failures), self.delay_cap_ms())
        delay_s = delay_ms / MS_PER_S * self.random.uniform(0.5, 1.0)
        self.waiting = self.loop.call_later(delay_s, self.start)

    def delay_cap_ms(self) -> int:
        """Return the longest delay between two tries."""
        if self.failures <= self.redial.patient_tries:
            return self.redial.delay_cap_ms
        return self.redial.idle_delay_cap_ms
