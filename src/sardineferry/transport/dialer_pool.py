"""The dialers of a process, one an address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.transport.dialer import DEFAULT_REDIAL
from sardineferry.transport.dialer import Dialer
from sardineferry.transport.dialer import Redial

if TYPE_CHECKING:
    from random import Random

    from sardineferry.mailbox import Mailbox
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["DialerPool"]


class DialerPool:
    """Keeps links to a changing set of addresses open."""

    def __init__(
        self,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
        redial: Redial = DEFAULT_REDIAL,
    ) -> None:
        """Start without dialers."""
        self.redial = redial
        self.mailbox = mailbox
        self.links = links
        self.random = random
        self.dialers: dict[str, Dialer] = {}

    def dial(self, address: str) -> None:
        """Open a link to an entry and keep it open."""
        if address in self.dialers:
            return
        dialer = Dialer(address, self.mailbox, self.links, self.random, self.redial)
        self.dialers[address] = dialer
        dialer.start()

    def drop(self, address: str) -> None:
        """Dial an address no longer."""
        dialer = self.dialers.pop(address, None)
        if dialer is not None:
            dialer.stop()

    def stop(self) -> None:
        """Dial nobody again; open links go on until they are closed."""
        for dialer in self.dialers.values():
            dialer.stop()

    def join(self) -> None:
        """Wait, for a bounded time each, until the links have ended."""
        for dialer in self.dialers.values():
            dialer.join()
