"""The dialers of a process, one for each address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.transport.dialer import DEFAULT_REDIAL_POLICY
from sardineferry.transport.dialer import Dialer
from sardineferry.transport.dialer import RedialPolicy

if TYPE_CHECKING:
    from random import Random

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.messages.codec import Codec
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["DialerPool"]


class DialerPool:
    """Keeps links open to a set of addresses that changes over time."""

    def __init__(
        self,
        loop: IoLoop,
        codec: Codec,
        mailbox: Mailbox,
        links: LinkRegistry,
        random: Random,
        redial_policy: RedialPolicy = DEFAULT_REDIAL_POLICY,
    ) -> None:
        """Start without dialers."""
        self.loop = loop
        self.codec = codec
        self.redial_policy = redial_policy
        self.mailbox = mailbox
        self.links = links
        self.random = random
        self.dialers: dict[str, Dialer] = {}

    def dial(self, address: str) -> None:
        """Open a link to an address and keep it open.

        If its dialer exists and waits before the next attempt, the wait ends.
        """
        known = self.dialers.get(address)
        if known is not None:
            known.redial_now()
            return
        dialer = Dialer(
            self.loop,
            address,
            self.codec,
            self.mailbox,
            self.links,
            self.random,
            self.redial_policy,
        )
        self.dialers[address] = dialer
        dialer.start()

    def drop(self, address: str) -> None:
        """Stop dialling an address, and close its link."""
        dialer = self.dialers.pop(address, None)
        if dialer is None:
            return
        dialer.stop()
        link = self.links.links.get(address)
        if link is not None:
            link.close()

    def stop(self) -> None:
        """Stop all dialers; open links stay open."""
        for dialer in self.dialers.values():
            dialer.stop()
