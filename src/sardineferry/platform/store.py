"""Calls the platform's metadata store.

The store is a log of topics. A topic whose name begins with ``keyed.`` also
keeps the newest record of each key for ever.
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

from sardineferry.futures import deliver
from sardineferry.futures import then
from sardineferry.web import HttpClient

if TYPE_CHECKING:
    from sardineferry.loop import IoLoop
    from sardineferry.web import HttpResult

__all__ = ["KeyedRecords", "StoreClient", "StoreError", "StoreRecords", "keyed_record"]

# An answer takes about 4 ms; on days with a slow store up to 100 times that.
CALL_TIMEOUT_S = 1.0
# Reads that wait for records each hold a connection: the configuration, the
# entries, and appends beside them.
WIDTH = 4
# The platform's length prefix of records, and its pair of end and first offset.
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
KEY_LENGTH_LIMIT = 255


class StoreError(NamedTuple):
    """A call failed.

    ``ambiguous`` says that a write may have taken effect, now or later.
    ``first_kept`` is the oldest offset that is left if the records asked for
    have been deleted.
    """

    reason: str
    ambiguous: bool = False
    first_kept: int | None = None


class StoreRecords(NamedTuple):
    """Records from ``start`` on; ``end`` is the next offset to be written."""

    start: int
    end: int
    first: int
    records: tuple[bytes, ...]


class KeyedRecords(NamedTuple):
    """The newest value of each key, and the offset to read on from."""

    values: dict[str, bytes]
    end: int


class NewestItem(msgspec.Struct):
    """One key; the value is in base64."""

    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")


class NewestPage(msgspec.Struct):
    """A page of keys, in order; more follow after the last key."""

    items: list[NewestItem]
    more: bool = msgspec.field(name="HasMore", default=False)
    end: int = msgspec.field(name="EndOffset", default=0)


class DeletedBody(msgspec.Struct):
    """What a read of deleted records is answered with."""

    first: int = msgspec.field(name="FirstOffset")


class StoreClient:
    """Calls to the store; several may wait there at once."""

    def __init__(self, loop: IoLoop, address: str, width: int = WIDTH) -> None:
        """Name the ``host:port`` of the store."""
        self.http = HttpClient(loop, address, width)

    def append(
        self, topic: str, records: list[bytes], partition: int = 0
    ) -> Future[Result[None, StoreError]]:
        """Append records, all or none; a failure may be ambiguous."""
        query = urlencode({"Topic": topic, "part": partition})
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        answer = self.call("POST", f"/v1/log-append?{query}", body)
        return then(answer, lambda result: result.map(lambda _: None))

    def read(
        self, topic: str, start: int, wait_ms: int = 0, partition: int = 0
    ) -> Future[Result[StoreRecords, StoreError]]:
        """Read records from an offset on, waiting for the first one."""
        query = urlencode(
            {"Topic": topic, "part": partition, "From": start, "WaitMs": wait_ms}
        )
        answer = self.call("GET", f"/v1/log-read?{query}", None, wait_ms / 1_000)
        return then(
            answer, lambda result: result.bind(lambda body: parse_records(start, body))
        )

    def newest(
        self, topic: str, partition: int = 0
    ) -> Future[Result[KeyedRecords, StoreError]]:
        """Read the newest value of each key of a keyed topic.

        The end offset is that of the first page: what was written while the
        pages were read is then read again.
        """
        reading = NewestReading(self, topic, partition)
        reading.read_page("")
        return reading.future

    def call(
        self, method: str, path: str, body: bytes | None, wait_s: float = 0.0
    ) -> Future[Result[bytes, StoreError]]:
        """Make one call."""
        answer = self.http.call(method, path, body, timeout_s=CALL_TIMEOUT_S + wait_s)
        return then(answer, result_of)


class NewestReading:
    """Reads the pages of a keyed topic, one after the other."""

    def __init__(self, client: StoreClient, topic: str, partition: int) -> None:
        """Begin without pages."""
        self.client = client
        self.query = {"Topic": topic, "part": str(partition)}
        self.values: dict[str, bytes] = {}
        self.end: int | None = None
        self.future: Future[Result[KeyedRecords, StoreError]] = Future()

    def read_page(self, after: str) -> None:
        """Ask for the keys after one."""
        query = {**self.query, "After": after} if after else self.query
        call = self.client.call("GET", f"/v1/log-newest?{urlencode(query)}", None)
        deliver(call, self.take_page, self.fail)

    def fail(self, error: Exception) -> None:
        """End with an unexpected error."""
        if not self.future.done():
            self.future.set_result(Failure(StoreError(f"unexpected: {error!r}")))

    def take_page(self, answer: Result[bytes, StoreError]) -> None:
        """Collect a page; end with the last one or with an error."""
        page = answer.bind(parse_page)
        if isinstance(page, Failure):
            self.future.set_result(Failure(page.failure()))
            return
        found = page.unwrap()
        self.end = found.end if self.end is None else self.end
        for item in found.items:
            self.values[item.key] = base64.b64decode(item.value)
        if found.more and found.items:
            self.read_page(found.items[-1].key)
            return
        self.future.set_result(Success(KeyedRecords(self.values, self.end)))


def result_of(answer: HttpResult) -> Result[bytes, StoreError]:
    """Return the body of a call that succeeded, or what went wrong."""
    if answer.status == http.HTTPStatus.OK:
        return Success(answer.body)
    if answer.status == 0:
        return Failure(StoreError(answer.reason, ambiguous=answer.sent))
    if answer.status == http.HTTPStatus.GONE:
        return Failure(parse_deleted(answer.body))
    # A gateway's word that the answer was lost leaves the outcome open.
    lost = answer.status in (
        http.HTTPStatus.BAD_GATEWAY,
        http.HTTPStatus.GATEWAY_TIMEOUT,
    )
    return Failure(StoreError(f"status {answer.status}", ambiguous=lost))


def parse_records(start: int, body: bytes) -> Result[StoreRecords, StoreError]:
    """Parse the body of a read."""
    if len(body) < OFFSETS.size:
        return Failure(StoreError(f"body of {len(body)} bytes is too short"))
    end, first = OFFSETS.unpack_from(body)
    records = []
    position = OFFSETS.size
    while position < len(body):
        if position + LENGTH.size > len(body):
            return Failure(StoreError("record length is cut off"))
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        if position + length > len(body):
            return Failure(StoreError("record is cut off"))
        records.append(body[position : position + length])
        position += length
    return Success(StoreRecords(start, end, first, tuple(records)))


def parse_deleted(body: bytes) -> StoreError:
    """Parse the answer to a read of records that have been deleted."""
    try:
        first = msgspec.json.decode(body, type=DeletedBody).first
    except msgspec.DecodeError as error:
        return StoreError(f"records deleted; bad body: {error}")
    return StoreError("records deleted", first_kept=first)


def parse_page(body: bytes) -> Result[NewestPage, StoreError]:
    """Parse a page of keys."""
    try:
        page = msgspec.json.decode(body, type=NewestPage)
        for item in page.items:
            base64.b64decode(item.value, validate=True)
    except (msgspec.DecodeError, binascii.Error) as error:
        return Failure(StoreError(f"bad page: {error}"))
    return Success(page)


def keyed_record(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic; an empty value drops the key.

    Raises:
        ValueError: The key is too long.

    """
    name = key.encode()
    if len(name) > KEY_LENGTH_LIMIT:
        raise ValueError(f"key of {len(name)} bytes; at most {KEY_LENGTH_LIMIT}")
    return bytes([len(name)]) + name + value
