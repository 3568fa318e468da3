"""Spreads the newest configuration over links that exist.

Answers an outage of the platform's store, or a process that the store turns
away: it learns of a new version from whoever could read it. Only a higher
version is ever adopted.
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
        """Start without a configuration."""
        self.version = -1
        self.text = b""

    def adopt(self, version: int, text: bytes) -> bool:
        """Hold a higher version; tell whether it was one."""
        if version <= self.version:
            return False
        self.version = version
        self.text = text
        return True

    def offers(self, links: Iterable[str], source: str = "") -> list[BurstEffect]:
        """Return offers of the held version to all links but its source."""
        if self.version < 0:
            return []
        offer = ConfigOffer(self.version)
        return [Send(link, offer) for link in links if link != source]

    def answer_offer(self, link: str, version: int) -> list[BurstEffect]:
        """Ask for a higher version; correct a lower one."""
        if version > self.version:
            return [Send(link, ConfigRequest(version))]
        if version < self.version:
            return [Send(link, ConfigOffer(self.version))]
        return []

    def answer_request(self, link: str) -> list[BurstEffect]:
        """Send the configuration that is held."""
        if self.version < 0:
            return []
        return [Send(link, ConfigText(self.version, self.text))]
