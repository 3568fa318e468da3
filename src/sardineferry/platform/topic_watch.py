"""Follows keyed topics in the platform's store, and registers entries there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure
from returns.result import Result

from sardineferry.clock import now_s
from sardineferry.decision.burst.evacuation import EvacuationsRead
from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.burst.requests import ConfigurationRead
from sardineferry.futures import when_done
from sardineferry.logs import part_logger
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.messages.burst import Evacuations
from sardineferry.platform.configuration import CONFIG_KEY
from sardineferry.platform.retry import RETRY_DELAY_S
from sardineferry.platform.retry import RetriedCall
from sardineferry.platform.store import keyed_record
from sardineferry.platform.store import parse_keyed_record

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sardineferry.loop import IoLoop
    from sardineferry.mailbox import Mailbox
    from sardineferry.platform.store import NewestValues
    from sardineferry.platform.store import StoreClient
    from sardineferry.platform.store import StoreError
    from sardineferry.platform.store import StoreRecords

    # Gets the newest values by key, and the offset up to which they were read. Records
    # after that offset may be included.
    OnValues = Callable[[dict[str, bytes], int], None]

__all__ = [
    "ENTRIES_TOPIC",
    "TopicWatch",
    "configuration_handler",
    "entries_handler",
    "entry_registration",
    "evacuations_handler",
    "operator_handler",
]

# The topic in which entries register under their names.
ENTRIES_TOPIC = "keyed.sardineferry-entries"
# To evacuate a data centre, the operator writes a record whose key is this and the data
# centre's name.
EVACUATION_PREFIX = "evacuate/"
# The delay before another try to read a topic is extended by a random share of up
# to this, so that processes don't retry in step after an outage.
RETRY_SPREAD = 0.5

# Time between two reads of all values, in case a record was missed.
FULL_READ_INTERVAL_S = 30.0

logger = part_logger("store")


class EntryRecord(msgspec.Struct):
    """The record of a registered entry; its key is the entry's name."""

    address: str
    incarnation: str
    data_centre: str


class TopicWatch:
    """Follows a keyed topic and passes on the newest values of all keys.

    It reads all values, then waits for new records. If records were deleted before
    they were seen, it reads all values again, and also from time to time. Values can
    have several hundred KB, and some links carry 1 MB/s.
    """

    def __init__(
        self,
        loop: IoLoop,
        topic: str,
        client: StoreClient,
        wait_ms: int,
        random: Random,
        on_values: OnValues,
    ) -> None:
        """Prepare to watch a topic; ``on_values`` gets what is read."""
        self.loop = loop
        self.topic = topic
        self.client = client
        self.wait_ms = wait_ms
        self.random = random
        self.on_values = on_values
        self.values: dict[str, bytes] = {}
        self.full_read_due_s = 0.0
        # Whether the last read succeeded.
        self.healthy = True

    def start(self) -> None:
        """Read the newest values of all keys."""
        when_done(
            self.client.read_newest(self.topic), self.handle_newest, self.handle_error
        )

    def handle_error(self, error: Exception) -> None:
        """Treat an unexpected error as a failed read."""
        self.retry_later(f"unexpected error: {error!r}")

    def handle_newest(self, result: Result[NewestValues, StoreError]) -> None:
        """Pass on the newest values, then wait for a new record."""
        if isinstance(result, Failure):
            self.retry_later(result.failure().reason)
            return
        if not self.healthy:
            logger.info("Reading %s works again.", self.topic)
        self.healthy = True
        newest = result.unwrap()
        self.values = newest.values
        self.full_read_due_s = now_s() + FULL_READ_INTERVAL_S
        self.on_values(self.values, newest.end)
        self.wait_for_records(newest.end)

    def wait_for_records(self, start: int) -> None:
        """Wait for records from an offset on."""
        records = self.client.read(self.topic, start, self.wait_ms)
        when_done(records, self.handle_records, self.handle_error)

    def handle_records(self, result: Result[StoreRecords, StoreError]) -> None:
        """Apply new records, or read all values again if some may be missing."""
        if isinstance(result, Failure):
            if result.failure().first_kept is None:
                self.retry_later(result.failure().reason)
            else:
                self.start()
            return
        read = result.unwrap()
        position = read.start + len(read.records)
        parsed = [parse_keyed_record(record) for record in read.records]
        if position != read.end or None in parsed or now_s() >= self.full_read_due_s:
            self.start()
            return
        for key, value in filter(None, parsed):
            self.values[key] = value
            if not value:
                del self.values[key]
        if parsed:
            self.on_values(self.values, position)
        self.wait_for_records(position)

    def retry_later(self, reason: str) -> None:
        """Retry after a delay; log the first of several failures in a row."""
        if self.healthy:
            logger.warning("Reading %s fails: %s.", self.topic, reason)
        self.healthy = False
        delay_factor = 1.0 + RETRY_SPREAD * self.random.random()
        self.loop.call_later(RETRY_DELAY_S * delay_factor, self.start)


def configuration_handler(mailbox: Mailbox) -> OnValues:
    """Return a function that passes the operator's configuration to the core."""

    def put_in_mailbox(values: dict[str, bytes], _position: int) -> None:
        text = values.get(CONFIG_KEY)
        if text:
            mailbox.put(ConfigurationRead(text))

    return put_in_mailbox


def evacuations_handler(mailbox: Mailbox) -> OnValues:
    """Return a function that passes the list of evacuated data centres to the core."""
    # Records that were skipped, with their values. Each is logged once.
    skipped: dict[str, bytes] = {}

    def put_in_mailbox(values: dict[str, bytes], position: int) -> None:
        names = []
        for key, value in sorted(values.items()):
            if not key.startswith(EVACUATION_PREFIX):
                continue
            name = key.removeprefix(EVACUATION_PREFIX)
            if name and is_json_object(value):
                names.append(name)
            elif skipped.get(key) != value:
                skipped[key] = value
                logger.warning("Skipped the evacuation record %r.", key)
        mailbox.put(EvacuationsRead(Evacuations(position, tuple(names))))

    return put_in_mailbox


def is_json_object(value: bytes) -> bool:
    """Return whether a value is a JSON object."""
    try:
        msgspec.json.decode(value, type=dict)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True


def operator_handler(mailbox: Mailbox) -> OnValues:
    """Return a function that passes on all that the operator writes.

    The evacuations come first, so that they apply to jobs that wait for the
    configuration.
    """
    handlers = (evacuations_handler(mailbox), configuration_handler(mailbox))

    def put_in_mailbox(values: dict[str, bytes], position: int) -> None:
        for handle in handlers:
            handle(values, position)

    return put_in_mailbox


def entries_handler(mailbox: Mailbox) -> OnValues:
    """Return a function that passes the registered entries to the core."""

    def put_in_mailbox(values: dict[str, bytes], _position: int) -> None:
        entries = []
        for name, value in sorted(values.items()):
            try:
                record = msgspec.msgpack.decode(value, type=EntryRecord)
            except msgspec.DecodeError as error:
                logger.warning("Skipped the record of entry %s: %s.", name, error)
                continue
            entries.append(
                EntryEndpoint(
                    name, record.address, record.data_centre, record.incarnation
                )
            )
        mailbox.put(EntriesRead(tuple(entries)))

    return put_in_mailbox


def entry_registration(
    loop: IoLoop, client: StoreClient, endpoint: EntryEndpoint
) -> RetriedCall:
    """Return a call that registers an entry and is retried until it succeeds.

    It is safe to repeat, as each record replaces the last one of the entry.
    """
    value = msgspec.msgpack.encode(
        EntryRecord(endpoint.address, endpoint.incarnation, endpoint.data_centre)
    )
    record = keyed_record(endpoint.name, value)
    return RetriedCall(
        loop, "Registering the entry", lambda: client.append(ENTRIES_TOPIC, [record])
    )
