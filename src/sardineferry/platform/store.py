"""Calls the platform's metadata store; one thread owns a client.

The store is a log of topics. A topic whose name begins with ``keyed.`` also
keeps the newest record of each key for ever.
"""

from __future__ import annotations

import base64
import binascii
import http
import http.client
import struct
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

__all__ = ["KeyedRecords", "StoreClient", "StoreError", "StoreRecords", "keyed_record"]

# An answer takes about 4 ms; on days with a slow store up to 100 times that.
CALL_TIMEOUT_S = 1.0
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
    """One connection to the store."""

    def __init__(self, address: str) -> None:
        """Name the ``host:port`` of the store."""
        self.address = address
        self.connection: http.client.HTTPConnection | None = None

    def append(
        self, topic: str, records: list[bytes], partition: int = 0
    ) -> Result[None, StoreError]:
        """Append records, all or none; a failure may be ambiguous."""
        query = urlencode({"Topic": topic, "part": partition})
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        answer = self.call("POST", f"/v1/log-append?{query}", body)
        return answer.map(lambda _: None)

    def read(
        self, topic: str, start: int, wait_ms: int = 0, partition: int = 0
    ) -> Result[StoreRecords, StoreError]:
        """Read records from an offset on, waiting for the first one."""
        query = urlencode(
            {"Topic": topic, "part": partition, "From": start, "WaitMs": wait_ms}
        )
        answer = self.call("GET", f"/v1/log-read?{query}", None, wait_ms / 1_000)
        return answer.bind(lambda body: parse_records(start, body))

    def newest(
        self, topic: str, partition: int = 0
    ) -> Result[KeyedRecords, StoreError]:
        """Read the newest value of each key of a keyed topic.

        The end offset is that of the first page: what was written while the
        pages were read is then read again.
        """
        values: dict[str, bytes] = {}
        end: int | None = None
        after = ""
        while True:
            query = {"Topic": topic, "part": str(partition)}
            if after:
                query["After"] = after
            answer = self.call("GET", f"/v1/log-newest?{urlencode(query)}", None)
            page = answer.bind(parse_page)
            if isinstance(page, Failure):
                return Failure(page.failure())
            found = page.unwrap()
            end = found.end if end is None else end
            for item in found.items:
                values[item.key] = base64.b64decode(item.value)
                after = item.key
            if not found.more or not found.items:
                return Success(KeyedRecords(values, end))

    def call(
        self, method: str, path: str, body: bytes | None, wait_s: float = 0.0
    ) -> Result[bytes, StoreError]:
        """Make one call."""
        try:
            connection = self.connect()
        except OSError as error:
            return self.fail(StoreError(f"cannot connect: {error}"))
        try:
            if connection.sock is not None:
                connection.sock.settimeout(CALL_TIMEOUT_S + wait_s)
            connection.request(method, path, body)
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            return self.fail(StoreError(f"call failed: {error!r}", ambiguous=True))
        if response.status == http.HTTPStatus.OK:
            return Success(text)
        if response.status == http.HTTPStatus.GONE:
            return Failure(parse_deleted(text))
        # A gateway's word that the answer was lost leaves the outcome open.
        lost = response.status in (
            http.HTTPStatus.BAD_GATEWAY,
            http.HTTPStatus.GATEWAY_TIMEOUT,
        )
        return Failure(StoreError(f"status {response.status}", ambiguous=lost))

    def connect(self) -> http.client.HTTPConnection:
        """Return the open connection, opening it if needed."""
        if self.connection is None:
            connection = http.client.HTTPConnection(
                self.address, timeout=CALL_TIMEOUT_S
            )
            connection.connect()
            self.connection = connection
        return self.connection

    def fail(self, error: StoreError) -> Failure[StoreError]:
        """Drop the connection, on which nothing more may come."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        return Failure(error)


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
