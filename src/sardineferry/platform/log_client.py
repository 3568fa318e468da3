"""A client of record streams, which are topics in the platform's store."""

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
    """A record of a stream as it is encoded with MessagePack."""

    record_id: str
    body: str


class LogPage(NamedTuple):
    """The records of one read.

    ``has_more`` is true if the stream has records after these. The next read
    begins at ``next_offset``, which also counts records that were skipped.
    """

    batch: LogRecords
    has_more: bool
    next_offset: int


class LogClient:
    """Appends records to streams and reads them."""

    def __init__(self, store: StoreClient) -> None:
        """Use a client of the platform's store."""
        self.store = store

    def append(
        self, stream: str, record_id: str, body: str
    ) -> Future[Result[None, StoreError]]:
        """Append a record; even after a failure it may have been written."""
        record = msgspec.msgpack.encode(StoredRecord(record_id, body))
        return self.store.append(stream, [record])

    def read_page(self, stream: str, start: int) -> Future[Result[LogPage, StoreError]]:
        """Read records from the offset ``start`` on.

        If the record at that offset has been deleted, the error's ``first_kept``
        is the first offset that is kept.
        """
        return then(
            self.store.read(stream, start),
            lambda result: result.map(lambda stored: decode_page(stream, stored)),
        )


def decode_page(stream: str, stored: StoreRecords) -> LogPage:
    """Decode records; log and skip those of another format."""
    records = []
    for offset, raw in enumerate(stored.records, stored.start):
        decoded = decode_record(raw)
        if isinstance(decoded, Success):
            record = decoded.unwrap()
            records.append(LogRecord(offset, record.record_id, record.body))
        else:
            logger.warning(
                "Skipped record %d of %s: %s.", offset, stream, decoded.failure()
            )
    batch = LogRecords(stream, stored.first, tuple(records))
    next_offset = stored.start + len(stored.records)
    return LogPage(batch, next_offset < stored.end, next_offset)


def decode_record(raw: bytes) -> Result[StoredRecord, str]:
    """Decode one record from MessagePack."""
    try:
        return Success(msgspec.msgpack.decode(raw, type=StoredRecord))
    except msgspec.DecodeError as error:
        return Failure(str(error))
