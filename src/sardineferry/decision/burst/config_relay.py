"""Distributes the newest configuration over the links between processes.

A process that can't read the platform's store, because the store is down or
refuses it, gets new versions from a process that could. A process only ever
adopts a higher version than its own.

A text may have several hundred KB, and some links carry 1 MB/s. So only versions
are announced. A process that lacks a text fetches it from one other process, in
parts. A process has at most one part that it sent in flight and one that it
requested, so that no message waits behind more than ``PART_BYTES``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst.effects import BurstEffect
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import ConfigOffer
from sardineferry.messages.burst import ConfigPart
from sardineferry.messages.burst import ConfigRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["PART_BYTES", "STORE_READ_MS", "ConfigRelay", "ReceivedPart"]

# 14 ms on a link of 9.5 Mbit/s, the slowest that the users have.
PART_BYTES = 16 * 1024
# A fetch without progress for this long is continued from another process.
FETCH_TIMEOUT_MS = 1_000
# A part that its receiver has not confirmed for this long no longer holds back parts
# for others.
PART_TIMEOUT_MS = 500
# An entry usually reads a new version from the store within this time.
STORE_READ_MS = 300


class ConfigFetch:
    """A text that is being fetched; ``link`` is empty while there is no source."""

    __slots__ = ("due_ms", "link", "size", "text", "version")

    def __init__(self, version: int, size: int) -> None:
        """Create it without any part."""
        self.version = version
        self.size = size
        self.text = bytearray()
        self.link = ""
        self.due_ms = 0


class ReceivedPart(NamedTuple):
    """Effects of a part, and the text if it is complete."""

    effects: list[BurstEffect]
    text: bytes | None


class ConfigRelay:
    """The newest configuration that this process holds, and its transfers."""

    def __init__(self, fetch_delay_ms: int, max_unasked_bytes: int | None) -> None:
        """Create the relay without a configuration.

        A version that replaces another one is fetched ``fetch_delay_ms`` after it
        was first offered. A text that is longer than ``max_unasked_bytes`` is
        fetched only for another process that requests it; None sets no limit.
        """
        self.fetch_delay_ms = fetch_delay_ms
        self.max_unasked_bytes = max_unasked_bytes
        self.version = -1
        self.text = b""
        # Higher versions that other processes have offered, by link.
        self.offers: dict[str, ConfigOffer] = {}
        self.first_offer_ms = 0
        self.fetch: ConfigFetch | None = None
        # Requests that are still to be answered, by link, the oldest first.
        self.requests: dict[str, ConfigRequest] = {}
        # The link of the part in flight, and how long it is waited for.
        self.sent_link = ""
        self.sent_due_ms = 0

    def hold(self, version: int, text: bytes) -> bool:
        """Keep a configuration if its version is higher; return whether it is."""
        if version <= self.version:
            return False
        self.version = version
        self.text = text
        self.forget_offers(version)
        return True

    def forget_offers(self, version: int) -> None:
        """Forget offers of a version and of lower ones, and a fetch of them."""
        self.offers = {
            link: offer
            for link, offer in self.offers.items()
            if offer.version > version
        }
        if self.fetch is not None and self.fetch.version <= version:
            self.fetch = None

    def newest(self) -> ConfigOffer | None:
        """Return the newest version that is held or offered."""
        held = [ConfigOffer(self.version, len(self.text))] if self.version >= 0 else []
        return max([*held, *self.offers.values()], default=None)

    def announce(self, links: Iterable[str], source: str = "") -> list[BurstEffect]:
        """Return offers of the newest version to links that have not offered it."""
        newest = self.newest()
        if newest is None:
            return []
        return [
            Send(link, newest)
            for link in links
            if link != source and self.offers.get(link) != newest
        ]

    def is_news(self, version: int) -> bool:
        """Return whether a version is higher than all that are held or offered."""
        newest = self.newest()
        return newest is None or version > newest.version

    def answer_offer(
        self, link: str, offer: ConfigOffer, now_ms: int
    ) -> list[BurstEffect]:
        """Note an offer of a higher version; offer this one if it is lower."""
        if offer.version < self.version:
            return [Send(link, ConfigOffer(self.version, len(self.text)))]
        if offer.version == self.version:
            return []
        if not self.offers:
            self.first_offer_ms = now_ms
        self.offers[link] = offer
        return self.continue_transfers(now_ms)

    def answer_request(
        self, link: str, request: ConfigRequest, now_ms: int
    ) -> list[BurstEffect]:
        """Queue a request for a part, which also confirms the part before it."""
        if self.sent_link == link:
            self.sent_link = ""
        self.requests.pop(link, None)
        is_complete = request.version == self.version and request.offset >= len(
            self.text
        )
        if not is_complete:
            self.requests[link] = request
        return self.continue_transfers(now_ms)

    def receive_part(self, link: str, part: ConfigPart, now_ms: int) -> ReceivedPart:
        """Add a part to the fetched text, and request the next one."""
        fetch = self.fetch
        if fetch is None or fetch.link != link or part.version < fetch.version:
            # Of a fetch that was given up: tell the sender that it need not wait.
            return ReceivedPart(
                [Send(link, ConfigRequest(part.version, part.size))], None
            )
        if part.version > fetch.version:
            fetch = self.start_fetch(part.version, part.size, link)
        fetch.due_ms = now_ms + FETCH_TIMEOUT_MS
        fetch.size = part.size
        if part.offset == len(fetch.text):
            fetch.text += part.text
        received = len(fetch.text)
        effects: list[BurstEffect] = [
            Send(link, ConfigRequest(fetch.version, received))
        ]
        if received < fetch.size:
            effects += self.continue_transfers(now_ms)
            return ReceivedPart(effects, None)
        self.forget_offers(fetch.version)
        return ReceivedPart(effects, bytes(fetch.text))

    def start_fetch(self, version: int, size: int, link: str) -> ConfigFetch:
        """Begin a fetch of a version from a link."""
        self.fetch = ConfigFetch(version, size)
        self.fetch.link = link
        return self.fetch

    def drop_link(self, link: str, now_ms: int) -> list[BurstEffect]:
        """Forget a closed link; continue its transfers on others."""
        self.offers.pop(link, None)
        self.requests.pop(link, None)
        if self.sent_link == link:
            self.sent_link = ""
        if self.fetch is not None and self.fetch.link == link:
            self.fetch.link = ""
        return self.continue_transfers(now_ms)

    def continue_transfers(self, now_ms: int) -> list[BurstEffect]:
        """Send the next part and request the next text, as far as they are due."""
        return [*self.send_part(now_ms), *self.request_text(now_ms)]

    def send_part(self, now_ms: int) -> list[BurstEffect]:
        """Answer the oldest request that can be answered, unless a part is in flight.

        Requests for a text that is still being fetched here are answered part by part.
        """
        if self.sent_link and now_ms < self.sent_due_ms:
            return []
        self.sent_link = ""
        for link, request in self.requests.items():
            part = self.find_part(request)
            if part is not None:
                del self.requests[link]
                self.sent_link = link
                self.sent_due_ms = now_ms + PART_TIMEOUT_MS
                return [Send(link, part)]
        return []

    def find_part(self, request: ConfigRequest) -> ConfigPart | None:
        """Return the part that answers a request, if it is here."""
        fetch = self.fetch
        version, offset = request
        text: bytes | bytearray = self.text
        size = len(text)
        if self.version > version:
            # A higher version than requested is sent from its start.
            version, offset = self.version, 0
        elif fetch is not None and fetch.version == version:
            text, size = fetch.text, fetch.size
        elif self.version < version:
            return None
        piece = bytes(text[offset : offset + PART_BYTES])
        return ConfigPart(version, size, offset, piece) if piece else None

    def request_text(self, now_ms: int) -> list[BurstEffect]:
        """Request the newest offered text, unless a fetch of it makes progress.

        A source that does not answer is left out until it offers a version again.
        """
        fetch = self.fetch
        if fetch is not None and fetch.link:
            if now_ms < fetch.due_ms:
                return []
            self.offers.pop(fetch.link, None)
            fetch.link = ""
        newest = max(self.offers.values(), default=None)
        if newest is None or not self.is_wanted(newest, now_ms):
            return []
        link = next(link for link, offer in self.offers.items() if offer == newest)
        if fetch is None or fetch.version != newest.version:
            fetch = self.start_fetch(*newest, link)
        fetch.link = link
        fetch.due_ms = now_ms + FETCH_TIMEOUT_MS
        return [Send(link, ConfigRequest(fetch.version, len(fetch.text)))]

    def is_wanted(self, offer: ConfigOffer, now_ms: int) -> bool:
        """Return whether an offered text is to be fetched now."""
        if any(request.version > self.version for request in self.requests.values()):
            return True
        is_small = (
            self.max_unasked_bytes is None or offer.size <= self.max_unasked_bytes
        )
        # Without any configuration nothing can be served, so there is no delay.
        delay_ms = self.fetch_delay_ms if self.version >= 0 else 0
        return is_small and now_ms >= self.first_offer_ms + delay_ms
