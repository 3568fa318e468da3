"""A client of the platform's metadata store.

The store keeps a log of records for each topic and deletes old records. For
topics whose names begin with ``keyed.`` it also keeps the newest record of each
key for ever.
"""

from __future__ import annotations

import base64
import binascii
import http
import struct
from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.futures import then
from sardineferry.futures import when_done
from sardineferry.web import HttpClient

if TYPE_CHECKING:
    from sardineferry.loop import IoLoop
    from sardineferry.web import HttpResult

__all__ = [
    "NewestValues",
    "StoreClient",
    "StoreError",
    "StoreRecords",
    "keyed_record",
    "parse_keyed_record",
]

# The store usually responds in about 4 ms, but can take up to 100 times as long.
CALL_TIMEOUT_S = 1.0
# A read that waits for new records occupies a connection. An entry for burst jobs has
# two such reads, of the configuration and of the registered entries, which leaves two
# connections for appends. Other programs need fewer: a burst agent only has the read
# of registered entries, and an entry for other jobs polls two streams without waiting,
# with one call at a time for each.
MAX_CONNECTIONS = 4
# The store's format: each record follows its length; a read starts with the
# topic's end offset and first offset.
RECORD_LENGTH = struct.Struct(">I")
END_AND_FIRST_OFFSET = struct.Struct(">QQ")
# A record of a keyed topic has the length of its key in its first byte.
MAX_KEY_BYTES = 255


class StoreError(NamedTuple):
    """Why a call failed.

    If ``ambiguous`` is true, a write may have taken effect or may still do so.
    ``first_kept`` is set if the requested records have been deleted, and is the
    oldest offset that is kept.
    """

    reason: str
    ambiguous: bool = False
    first_kept: int | None = None


class StoreRecords(NamedTuple):
    """Records of a topic from offset ``start`` on.

    ``first`` is the oldest offset that the topic keeps, and ``end`` the offset
    that its next record will get.
    """

    start: int
    end: int
    first: int
    records: tuple[bytes, ...]


class NewestValues(NamedTuple):
    """The newest value of each key, and the offset to continue reading from."""

    values: dict[str, bytes]
    end: int


class KeyedItem(msgspec.Struct):
    """A key and its newest value, in base64."""

    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")


class KeyedPage(msgspec.Struct):
    """A page of keys in order.

    If ``has_more`` is true, the next page starts after the last key of this one.
    """

    items: list[KeyedItem]
    has_more: bool = msgspec.field(name="HasMore", default=False)
    end: int = msgspec.field(name="EndOffset", default=0)


class DeletedResponse(msgspec.Struct):
    """The body of the store's response to a read of deleted records."""

    first: int = msgspec.field(name="FirstOffset")


class StoreClient:
    """Calls the store; several calls can be in progress at once."""

    def __init__(
        self, loop: IoLoop, address: str, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        """Use the store at ``host:port``, over at most that many connections."""
        self.http = HttpClient(loop, address, max_connections)

    def append(
        self, topic: str, records: list[bytes], partition: int = 0
    ) -> Future[Result[None, StoreError]]:
        """Append all records or none; a failure may be ambiguous."""
        query = urlencode({"Topic": topic, "part": partition})
        body = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)
        future = self.call("POST", f"/v1/log-append?{query}", body)
        return then(future, lambda result: result.map(lambda _: None))

    def read(
        self, topic: str, start: int, wait_ms: int = 0, partition: int = 0
    ) -> Future[Result[StoreRecords, StoreError]]:
        """Read records from an offset on; wait up to ``wait_ms`` if none is there."""
        query = urlencode(
            {"Topic": topic, "part": partition, "From": start, "WaitMs": wait_ms}
        )
        future = self.call("GET", f"/v1/log-read?{query}", None, wait_ms / 1_000)
        return then(
            future, lambda result: result.bind(lambda body: parse_records(start, body))
        )

    def read_newest(
        self, topic: str, partition: int = 0
    ) -> Future[Result[NewestValues, StoreError]]:
        """Read the newest value of each key of a keyed topic.

        The end offset is that of the first page, so that a later read from there
        includes all records that were written while the pages were read.
        """
        reading = NewestValuesRead(self, topic, partition)
        reading.read_page("")
        return reading.future

    def call(
        self, method: str, path: str, body: bytes | None, wait_s: float = 0.0
    ) -> Future[Result[bytes, StoreError]]:
        """Make an HTTP call; ``wait_s`` is added to the usual timeout."""
        future = self.http.call(method, path, body, timeout_s=CALL_TIMEOUT_S + wait_s)
        return then(future, body_or_error)


class NewestValuesRead:
    """Reads all pages of a keyed topic's newest values in turn."""

    def __init__(self, client: StoreClient, topic: str, partition: int) -> None:
        """Prepare to read a topic; ``read_page`` begins."""
        self.client = client
        self.query = {"Topic": topic, "part": str(partition)}
        self.values: dict[str, bytes] = {}
        self.end: int | None = None
        self.future: Future[Result[NewestValues, StoreError]] = Future()

    def read_page(self, after: str) -> None:
        """Request the page that follows a key; "" requests the first page."""
        query = {**self.query, "After": after} if after else self.query
        call = self.client.call("GET", f"/v1/log-newest?{urlencode(query)}", None)
        when_done(call, self.handle_page, self.handle_error)

    def handle_error(self, error: Exception) -> None:
        """Fail the whole read with an unexpected error."""
        if not self.future.done():
            self.future.set_result(Failure(StoreError(f"unexpected error: {error!r}")))

    def handle_page(self, result: Result[bytes, StoreError]) -> None:
        """Add a page's values; request the next one, or finish the read."""
        parsed = result.bind(parse_page)
        if isinstance(parsed, Failure):
            self.future.set_result(Failure(parsed.failure()))
            return
        page = parsed.unwrap()
        self.end = page.end if self.end is None else self.end
        for item in page.items:
            self.values[item.key] = base64.b64decode(item.value)
        if page.has_more and page.items:
            self.read_page(page.items[-1].key)
            return
        self.future.set_result(Success(NewestValues(self.values, self.end)))


def body_or_error(result: HttpResult) -> Result[bytes, StoreError]:
    """Return the body of a successful response, or the error."""
    if result.status == http.HTTPStatus.OK:
        return Success(result.body)
    if result.status == 0:
        return Failure(StoreError(result.reason, ambiguous=result.sent))
    if result.status == http.HTTPStatus.GONE:
        return Failure(parse_deleted(result.body))
    # A gateway that got no valid response from the store can't tell whether a
    # write took effect.
    response_lost = result.status in (
        http.HTTPStatus.BAD_GATEWAY,
        http.HTTPStatus.GATEWAY_TIMEOUT,
    )
    return Failure(StoreError(f"status {result.status}", ambiguous=response_lost))


def parse_records(start: int, body: bytes) -> Result[StoreRecords, StoreError]:
    """Parse the body of the response to a read."""
    if len(body) < END_AND_FIRST_OFFSET.size:
        return Failure(StoreError(f"body of {len(body)} bytes has no offsets"))
    end, first = END_AND_FIRST_OFFSET.unpack_from(body)
    records = []
    position = END_AND_FIRST_OFFSET.size
    while position < len(body):
        if position + RECORD_LENGTH.size > len(body):
            return Failure(StoreError("truncated record length"))
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        if position + length > len(body):
            return Failure(StoreError("truncated record"))
        records.append(body[position : position + length])
        position += length
    return Success(StoreRecords(start, end, first, tuple(records)))


def parse_deleted(body: bytes) -> StoreError:
    """Parse the body of the response to a read of deleted records."""
    try:
        first = msgspec.json.decode(body, type=DeletedResponse).first
    except msgspec.DecodeError as error:
        return StoreError(f"records deleted; bad body: {error}")
    return StoreError("records deleted", first_kept=first)


def parse_page(body: bytes) -> Result[KeyedPage, StoreError]:
    """Parse a page of keys and check their values' encoding."""
    try:
        page = msgspec.json.decode(body, type=KeyedPage)
        for item in page.items:
            base64.b64decode(item.value, validate=True)
    except (msgspec.DecodeError, binascii.Error) as error:
        return Failure(StoreError(f"bad page: {error}"))
    return Success(page)


def keyed_record(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic; an empty value deletes the key.

    Raises:
        ValueError: The key is too long.

    """
    encoded_key = key.encode()
    if len(encoded_key) > MAX_KEY_BYTES:
        raise ValueError(
            f"key has {len(encoded_key)} bytes, but at most {MAX_KEY_BYTES} are allowed"
        )
    return bytes([len(encoded_key)]) + encoded_key + value


def parse_keyed_record(record: bytes) -> tuple[str, bytes] | None:
    """Return the key and value of a keyed topic's record, or None if malformed."""
    value_start = 1 + record[0] if record else 0
    if not record or value_start > len(record):
        return None
    try:
        return record[1:value_start].decode(), record[value_start:]
    except UnicodeDecodeError:
        return None
