"""Streams of the product's own records on the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.events import LogRecord
from sardineferry.decision.events import LogRecords
from sardineferry.futures import then
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from concurrent.futures import Future

    from sardineferry.platform.store import StoreClient
    from sardineferry.platform.store import StoreError
    from sardineferry.platform.store import StoreRecords

__all__ = ["LogClient", "LogPage"]

logger = part_logger("log")


class StoredRecord(NamedTuple):
    """What a record of a stream holds, as MessagePack."""

    record_id: str
    body: str


class LogPage(NamedTuple):
    """Records of one read; ``more`` tells whether others can be read.

    ``next_offset`` is where they would be, after records that were skipped.
    """

    batch: LogRecords
    more: bool
    next_offset: int


class LogClient:
    """Appends to streams and reads them."""

    def __init__(self, store: StoreClient) -> None:
        """Name the client of the store."""
        self.store = store

    def append(
        self, stream: str, record_id: str, body: str
    ) -> Future[Result[None, StoreError]]:
        """Append a record; a failure may be ambiguous."""
        record = msgspec.msgpack.encode(StoredRecord(record_id, body))
        return self.store.append(stream, [record])

    def read_page(self, stream: str, start: int) -> Future[Result[LogPage, StoreError]]:
        """Read records from an offset on.

        What has been deleted is an error that names the first offset left.
        """
        return then(
            self.store.read(stream, start),
            lambda answer: answer.map(lambda found: page_of(stream, found)),
        )


def page_of(stream: str, found: StoreRecords) -> LogPage:
    """Decode records; one of another writer is skipped with a log line."""
    records = []
    for offset, raw in enumerate(found.records, found.start):
        decoded = decode_record(raw)
        if isinstance(decoded, Success):
            record = decoded.unwrap()
            records.append(LogRecord(offset, record.record_id, record.body))
        else:
            logger.warning(
                "Skipped record %d of %s: %s.", offset, stream, decoded.failure()
            )
    batch = LogRecords(stream, found.first, tuple(records))
    next_offset = found.start + len(found.records)
    return LogPage(batch, next_offset < found.end, next_offset)


def decode_record(raw: bytes) -> Result[StoredRecord, str]:
    """Decode one record."""
    try:
        return Success(msgspec.msgpack.decode(raw, type=StoredRecord))
    except msgspec.DecodeError as error:
        return Failure(str(error))
