"""A stand-in for the platform's append-only log.

Faults are set by ``POST /faults`` with any of ``outage`` (refuses all),
``slow_ms`` (delays all), ``lose_answers`` (the next appends act but answer
with an error) and ``retention`` (records kept per stream).
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from typing import TypedDict

from sardineferry.standin.web import Request
from sardineferry.standin.web import Response
from sardineferry.standin.web import WebStandin

__all__ = ["LogFaults", "LogStandin"]

APPENDS_PER_S = 500
SYNC_MS = 4


class LogFaults(TypedDict):
    """The faults in force."""

    outage: bool
    slow_ms: int
    lose_answers: int
    retention: int


class StoredRecord(TypedDict):
    """One record."""

    offset: int
    record_id: str
    body: str


class LogStandin(WebStandin):
    """Streams of records in memory, with a limited append rate."""

    def __init__(self) -> None:
        """Start without records or faults."""
        self.lock = threading.Lock()
        self.streams: dict[str, list[StoredRecord]] = defaultdict(list)
        self.next_offsets: dict[str, int] = defaultdict(int)
        self.appends = 0
        self.window_s = 0
        self.window_appends = 0
        self.faults = LogFaults(
            outage=False, slow_ms=0, lose_answers=0, retention=1_000_000
        )

    def serve(self, request: Request) -> Response:
        """Append, read, set faults or tell counts."""
        match request.method, request.parts:
            case "POST", ("faults",):
                self.faults.update(request.body)
                return Response(200, self.faults)
            case "GET", ("stats",):
                return Response(200, {"appends": self.appends})
        if self.faults["outage"]:
            return Response(503, {"error": "outage"})
        time.sleep(self.faults["slow_ms"] / 1_000)
        match request.method, request.parts:
            case "POST", ("streams", stream, "records"):
                return self.append(stream, request.body)
            case "GET", ("streams", stream, "records"):
                return self.read(stream, request.query)
        return Response(404, {"error": "no such path"})

    def append(self, stream: str, body: dict[str, str]) -> Response:
        """Append a record, after the time that a synced write takes."""
        if not self.take_append():
            return Response(429, {"error": "too many appends"})
        time.sleep(SYNC_MS / 1_000)
        with self.lock:
            offset = self.next_offsets[stream]
            self.next_offsets[stream] += 1
            records = self.streams[stream]
            records.append(
                StoredRecord(offset=offset, record_id=body["id"], body=body["body"])
            )
            del records[: max(0, len(records) - self.faults["retention"])]
            self.appends += 1
            lost = self.faults["lose_answers"] > 0
            self.faults["lose_answers"] -= 1 if lost else 0
        if lost:
            return Response(504, {"error": "answer lost"})
        return Response(200, {"offset": offset})

    def take_append(self) -> bool:
        """Count an append against the rate of the present second."""
        with self.lock:
            second = int(time.monotonic())
            if second != self.window_s:
                self.window_s = second
                self.window_appends = 0
            self.window_appends += 1
            return self.window_appends <= APPENDS_PER_S

    def read(self, stream: str, query: dict[str, int]) -> Response:
        """Read records from an offset on."""
        start = query.get("from", 0)
        limit = query.get("limit", 500)
        with self.lock:
            records = self.streams[stream]
            first = records[0]["offset"] if records else self.next_offsets[stream]
            skipped = max(0, start - first)
            found = records[skipped : skipped + limit]
        rows = [[item["offset"], item["record_id"], item["body"]] for item in found]
        return Response(200, {"first_offset": first, "records": rows})
