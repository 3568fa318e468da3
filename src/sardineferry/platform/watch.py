"""Follows keyed topics of the platform's store, and registers entries there."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.decision.events import AddressesRead
from sardineferry.logs import part_logger
from sardineferry.platform.configuration import CONFIG_KEY
from sardineferry.platform.retry import RETRY_S
from sardineferry.platform.retry import until_answered
from sardineferry.platform.store import StoreClient
from sardineferry.platform.store import keyed_record

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sardineferry.mailbox import Mailbox

__all__ = [
    "ENTRIES_TOPIC",
    "EntryRegistration",
    "TopicWatch",
    "hand_over_addresses",
    "hand_over_configuration",
]

# Where entries register their link addresses.
ENTRIES_TOPIC = "keyed.sardineferry-entries"
RETRY_SPREAD = 0.5

logger = part_logger("store")


class EntryRecord(msgspec.Struct):
    """An entry, as registered under its name."""

    address: str
    incarnation: str


class TopicWatch:
    """A thread that hands over the newest values of a keyed topic.

    A read that brings nothing is followed by a look at the newest values, as
    a history that was dropped may have taken changes with it.
    """

    def __init__(
        self,
        topic: str,
        address: str,
        wait_ms: int,
        random: Random,
        hand_over: Callable[[dict[str, bytes]], None],
    ) -> None:
        """Name the topic, the store and what takes the values."""
        self.topic = topic
        self.client = StoreClient(address)
        self.wait_ms = wait_ms
        self.random = random
        self.hand_over = hand_over
        self.healthy = True
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"watch {topic}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def run(self) -> None:
        """Follow the topic until the process ends."""
        while not self.stopped.is_set():
            end = self.read_newest()
            if end is None or not self.wait_for_change(end):
                spread = 1.0 + RETRY_SPREAD * self.random.random()
                self.stopped.wait(RETRY_S * spread)

    def read_newest(self) -> int | None:
        """Hand the newest values over; return where to read on."""
        answer = self.client.newest(self.topic)
        if isinstance(answer, Failure):
            self.note_failure(answer.failure().reason)
            return None
        if not self.healthy:
            logger.info("Reading {} works again.", self.topic)
        self.healthy = True
        found = answer.unwrap()
        self.hand_over(found.values)
        return found.end

    def wait_for_change(self, start: int) -> bool:
        """Wait for a record; false if the store failed."""
        answer = self.client.read(self.topic, start, self.wait_ms)
        if isinstance(answer, Failure) and answer.failure().first_kept is None:
            self.note_failure(answer.failure().reason)
            return False
        return True

    def note_failure(self, reason: str) -> None:
        """Log the first failure of a series."""
        if self.healthy:
            logger.warning("Reading {} fails: {}.", self.topic, reason)
        self.healthy = False


def hand_over_configuration(mailbox: Mailbox) -> Callable[[dict[str, bytes]], None]:
    """Return what hands the operator's configuration to the core."""

    def hand_over(values: dict[str, bytes]) -> None:
        text = values.get(CONFIG_KEY)
        if text:
            mailbox.put(ConfigurationRead(text))

    return hand_over


def hand_over_addresses(mailbox: Mailbox) -> Callable[[dict[str, bytes]], None]:
    """Return what hands the entries' link addresses to the core."""

    def hand_over(values: dict[str, bytes]) -> None:
        addresses = []
        for name, value in values.items():
            try:
                record = msgspec.msgpack.decode(value, type=EntryRecord)
            except msgspec.DecodeError as error:
                logger.warning("Skipped the record of entry {}: {}.", name, error)
                continue
            addresses.append(record.address)
        mailbox.put(AddressesRead(tuple(sorted(addresses))))

    return hand_over


class EntryRegistration:
    """A thread that registers an entry once, however long the store is away."""

    def __init__(
        self, name: str, link_address: str, incarnation: str, store: str
    ) -> None:
        """Name the entry, its link address and the store."""
        value = msgspec.msgpack.encode(EntryRecord(link_address, incarnation))
        self.record = keyed_record(name, value)
        self.client = StoreClient(store)
        self.thread = threading.Thread(target=self.run, name="register", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def run(self) -> None:
        """Append until the store has acknowledged; a repeat changes nothing."""
        until_answered(
            "Registering", lambda: self.client.append(ENTRIES_TOPIC, [self.record])
        )
