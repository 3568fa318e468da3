"""An in-memory fake of the platform's log."""

from __future__ import annotations

from collections import defaultdict

from sardineferry.decision.events import LogRecord
from sardineferry.decision.events import LogRecords

__all__ = ["FakeLog"]


class FakeLog:
    """Streams in memory, with faults that are set as attributes.

    While ``down`` is true, all calls fail. The next ``lose_answers`` appends
    take effect but report a failure. ``slow_ms`` is added to the duration of
    each call. Each stream keeps its last ``retention`` records.
    """

    def __init__(self) -> None:
        """Create a log without records or faults."""
        self.streams: dict[str, list[LogRecord]] = defaultdict(list)
        self.next_offset: dict[str, int] = defaultdict(int)
        self.down = False
        self.lose_answers = 0
        self.slow_ms = 0
        self.retention = 1_000_000
        self.appends = 0

    def append(self, stream: str, record_id: str, body: str) -> bool:
        """Append a record; return false if that failed or its answer was lost."""
        if self.down:
            return False
        record = LogRecord(self.next_offset[stream], record_id, body)
        self.next_offset[stream] += 1
        self.streams[stream].append(record)
        del self.streams[stream][: -self.retention]
        self.appends += 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return False
        return True

    def read(self, stream: str, start: int) -> LogRecords | None:
        """Return the records from offset ``start`` on, or None if the log is down."""
        if self.down:
            return None
        records = self.streams[stream]
        first = records[0].offset if records else self.next_offset[stream]
        found = tuple(records[max(0, start - first) :])
        return LogRecords(stream, first, found)
