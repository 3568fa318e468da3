"""Calls the log service over HTTP; one caller owns a client."""

from __future__ import annotations

import http.client
from typing import NamedTuple
from urllib.parse import quote

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.events import LogRecord
from sardineferry.decision.events import LogRecords

__all__ = ["LogClient", "LogError"]

TIMEOUT_S = 2.0
READ_LIMIT = 500
HTTP_OK = 200


class LogError(NamedTuple):
    """A call to the log failed.

    ``ambiguous`` says that an append may have taken effect.
    """

    reason: str
    ambiguous: bool


class ReadBody(msgspec.Struct):
    """The body of a read."""

    first_offset: int
    records: list[LogRecord]


class LogClient:
    """One connection to the log service."""

    def __init__(self, address: str) -> None:
        """Name the ``host:port`` of the service."""
        self.address = address
        self.connection: http.client.HTTPConnection | None = None

    def append(self, stream: str, record_id: str, body: str) -> Result[None, LogError]:
        """Append a record; a failure may be ambiguous."""
        payload = msgspec.json.encode({"id": record_id, "body": body})
        return self.call("POST", path_of(stream), payload).map(lambda _: None)

    def read(self, stream: str, start: int) -> Result[LogRecords, LogError]:
        """Read records from an offset on."""
        path = f"{path_of(stream)}?from={start}&limit={READ_LIMIT}"
        answer = self.call("GET", path, None)
        return answer.bind(lambda text: parse_read(stream, text))

    def call(
        self, method: str, path: str, body: bytes | None
    ) -> Result[bytes, LogError]:
        """Make one request."""
        try:
            connection = self.connect()
        except OSError as error:
            return self.fail(f"cannot connect: {error}", False)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            return self.fail(f"call failed: {error!r}", True)
        if response.status != HTTP_OK:
            return Failure(LogError(f"status {response.status}", False))
        return Success(text)

    def connect(self) -> http.client.HTTPConnection:
        """Return the open connection, opening it if needed."""
        if self.connection is None:
            connection = http.client.HTTPConnection(self.address, timeout=TIMEOUT_S)
            connection.connect()
            self.connection = connection
        return self.connection

    def fail(self, reason: str, ambiguous: bool) -> Failure[LogError]:
        """Drop the connection and return the error."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        return Failure(LogError(reason, ambiguous))


def path_of(stream: str) -> str:
    """Return the path of a stream's records."""
    return f"/streams/{quote(stream, safe='')}/records"


def parse_read(stream: str, text: bytes) -> Result[LogRecords, LogError]:
    """Parse the body of a read."""
    try:
        body = msgspec.json.decode(text, type=ReadBody)
    except msgspec.DecodeError as error:
        return Failure(LogError(f"bad body: {error}", False))
    return Success(LogRecords(stream, body.first_offset, tuple(body.records)))
