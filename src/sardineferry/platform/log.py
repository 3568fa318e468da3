"""Streams of the product's own records on the platform's store."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.events import LogRecord
from sardineferry.decision.events import LogRecords
from sardineferry.logs import part_logger
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
    """Records of one read; ``more`` tells whether others can be read."""

    batch: LogRecords
    more: bool


class LogClient:
    """Appends to streams and reads them, on one connection."""

    def __init__(self, address: str) -> None:
        """Name the ``host:port`` of the store."""
        self.store = StoreClient(address)

    def append(
        self, stream: str, record_id: str, body: str
    ) -> Result[None, StoreError]:
        """Append a record; a failure may be ambiguous."""
        record = msgspec.msgpack.encode(StoredRecord(record_id, body))
        return self.store.append(stream, [record])

    def read(self, stream: str, start: int) -> Result[LogRecords, StoreError]:
        """Read records from an offset on."""
        return self.read_page(stream, start).map(lambda page: page.batch)

    def read_page(self, stream: str, start: int) -> Result[LogPage, StoreError]:
        """Read records from an offset on, or from the first that is kept."""
        answer = self.store.read(stream, start)
        if isinstance(answer, Failure):
            first = answer.failure().first_kept
            if first is not None:
                answer = self.store.read(stream, first)
        return answer.map(lambda found: page_of(stream, found))


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
                "Skipped record {} of {}: {}.", offset, stream, decoded.failure()
            )
    batch = LogRecords(stream, found.first, tuple(records))
    return LogPage(batch, found.start + len(found.records) < found.end)


def decode_record(raw: bytes) -> Result[StoredRecord, str]:
    """Decode one record."""
    try:
        return Success(msgspec.msgpack.decode(raw, type=StoredRecord))
    except msgspec.DecodeError as error:
        return Failure(str(error))
