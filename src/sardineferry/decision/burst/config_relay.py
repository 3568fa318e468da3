"""Distributes the newest configuration over the links between processes.

A process that can't read the platform's store, because the store is down or
refuses it, gets new versions from a process that could. A process only ever
adopts a higher version than its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import ConfigOffer
from sardineferry.messages.burst import ConfigRequest
from sardineferry.messages.burst import ConfigText

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.effects import BurstEffect

__all__ = ["ConfigRelay"]


class ConfigRelay:
    """The newest configuration that this process holds, as text."""

    def __init__(self) -> None:
        """Create the relay without a configuration."""
        self.version = -1
        self.text = b""

    def adopt(self, version: int, text: bytes) -> bool:
        """Keep the configuration if its version is higher; return whether it is."""
        if version <= self.version:
            return False
        self.version = version
        self.text = text
        return True

    def offers(self, links: Iterable[str], source: str = "") -> list[BurstEffect]:
        """Return offers of this version to all links except the one it came from."""
        if self.version < 0:
            return []
        offer = ConfigOffer(self.version)
        return [Send(link, offer) for link in links if link != source]

    def answer_offer(self, link: str, version: int) -> list[BurstEffect]:
        """Request the offered version if it is higher; offer this one if lower."""
        if version > self.version:
            return [Send(link, ConfigRequest(version))]
        if version < self.version:
            return [Send(link, ConfigOffer(self.version))]
        return []

    def answer_request(self, link: str) -> list[BurstEffect]:
        """Return the message with this configuration, if there is one."""
        if self.version < 0:
            return []
        return [Send(link, ConfigText(self.version, self.text))]
