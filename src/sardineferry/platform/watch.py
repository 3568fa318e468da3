"""Follows keyed topics of the platform's store, and registers entries there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure
from returns.result import Result

from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.futures import deliver
from sardineferry.logs import part_logger
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.platform.configuration import CONFIG_KEY
from sardineferry.platform.retry import RETRY_S
from sardineferry.platform.retry import UntilAnswered
from sardineferry.platform.store import keyed_record

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.platform.store import KeyedRecords
    from sardineferry.platform.store import StoreClient
    from sardineferry.platform.store import StoreError
    from sardineferry.platform.store import StoreRecords

__all__ = [
    "ENTRIES_TOPIC",
    "TopicWatch",
    "hand_over_configuration",
    "hand_over_entries",
    "register_entry",
]

# Where entries register.
ENTRIES_TOPIC = "keyed.sardineferry-entries"
RETRY_SPREAD = 0.5

logger = part_logger("store")


class EntryRecord(msgspec.Struct):
    """An entry, as registered under its name."""

    address: str
    incarnation: str
    data_centre: str


class TopicWatch:
    """Hands over the newest values of a keyed topic.

    A read that brings nothing is followed by a look at the newest values, as
    a history that was dropped may have taken changes with it.
    """

    def __init__(
        self,
        loop: IoLoop,
        topic: str,
        client: StoreClient,
        wait_ms: int,
        random: Random,
        hand_over: Callable[[dict[str, bytes]], None],
    ) -> None:
        """Name the topic, the store and what takes the values."""
        self.loop = loop
        self.topic = topic
        self.client = client
        self.wait_ms = wait_ms
        self.random = random
        self.hand_over = hand_over
        self.healthy = True

    def start(self) -> None:
        """Read the newest values."""
        deliver(self.client.newest(self.topic), self.take_newest, self.fail)

    def fail(self, error: Exception) -> None:
        """Go on after an unexpected error."""
        self.note_failure(f"unexpected error: {error!r}")

    def take_newest(self, answer: Result[KeyedRecords, StoreError]) -> None:
        """Hand the newest values over, and wait for others."""
        if isinstance(answer, Failure):
            self.note_failure(answer.failure().reason)
            return
        if not self.healthy:
            logger.info("Reading %s works again.", self.topic)
        self.healthy = True
        found = answer.unwrap()
        self.hand_over(found.values)
        reading = self.client.read(self.topic, found.end, self.wait_ms)
        deliver(reading, self.take_change, self.fail)

    def take_change(self, answer: Result[StoreRecords, StoreError]) -> None:
        """Look again, after a change or after a wait without one."""
        if isinstance(answer, Failure) and answer.failure().first_kept is None:
            self.note_failure(answer.failure().reason)
            return
        self.start()

    def note_failure(self, reason: str) -> None:
        """Log the first failure of a series, and try again."""
        if self.healthy:
            logger.warning("Reading %s fails: %s.", self.topic, reason)
        self.healthy = False
        spread = 1.0 + RETRY_SPREAD * self.random.random()
        self.loop.call_later(RETRY_S * spread, self.start)


def hand_over_configuration(mailbox: Mailbox) -> Callable[[dict[str, bytes]], None]:
    """Return what hands the operator's configuration to the core."""

    def hand_over(values: dict[str, bytes]) -> None:
        text = values.get(CONFIG_KEY)
        if text:
            mailbox.put(ConfigurationRead(text))

    return hand_over


def hand_over_entries(mailbox: Mailbox) -> Callable[[dict[str, bytes]], None]:
    """Return what hands the registered entries to the core."""

    def hand_over(values: dict[str, bytes]) -> None:
        places = []
        for name, value in sorted(values.items()):
            try:
                record = msgspec.msgpack.decode(value, type=EntryRecord)
            except msgspec.DecodeError as error:
                logger.warning("Skipped the record of entry %s: %s.", name, error)
                continue
            places.append(
                EntryEndpoint(
                    name, record.address, record.data_centre, record.incarnation
                )
            )
        mailbox.put(EntriesRead(tuple(places)))

    return hand_over


def register_entry(
    loop: IoLoop, client: StoreClient, place: EntryEndpoint
) -> UntilAnswered:
    """Return what registers an entry; a repeat changes nothing."""
    value = msgspec.msgpack.encode(
        EntryRecord(place.address, place.incarnation, place.data_centre)
    )
    record = keyed_record(place.name, value)
    return UntilAnswered(
        loop, "Registering", lambda: client.append(ENTRIES_TOPIC, [record])
    )
