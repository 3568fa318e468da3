"""A stand-in for the platform's metadata store, as its published protocol says.

Faults are set by ``POST /faults`` with any of ``outage`` (refuses all),
``slow_ms`` (delays all), ``lose_answers`` (the next appends act but answer
with an error) and ``retention`` (records kept per topic). ``PUT
/keys/TOPIC/KEY`` writes a key as the operator does.
"""

from __future__ import annotations

import base64
import struct
import threading
import time
from typing import TypedDict

import msgspec

from sardineferry.standin.web import Request
from sardineferry.standin.web import Response
from sardineferry.standin.web import WebStandin

__all__ = ["LogFaults", "LogStandin"]

APPENDS_PER_S = 500
SYNC_MS = 4
PAGE_KEYS = 500
READ_LIMIT_BYTES = 1024 * 1024
POLL_S = 0.005
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
KEYED_PREFIX = "keyed."


class LogFaults(TypedDict):
    """The faults in force."""

    outage: bool
    slow_ms: int
    lose_answers: int
    retention: int


class Topic:
    """Records of one topic's only partition, and the newest of each key."""

    def __init__(self) -> None:
        """Start empty."""
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, record: bytes, keyed: bool) -> None:
        """Add a record."""
        if keyed:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, self.end)
        self.records.append(record)

    def drop(self, count: int) -> None:
        """Delete the oldest records."""
        del self.records[:count]
        self.first += count


class LogStandin(WebStandin):
    """Topics in memory, with a limited append rate."""

    def __init__(self) -> None:
        """Start without records or faults."""
        self.lock = threading.Lock()
        self.topics: dict[str, Topic] = {}
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
            case "PUT", ("keys", topic, key):
                self.put_key(topic, key, request.body)
                return Response(200, {})
            case "GET", ("stats",):
                return Response(200, {"appends": self.appends})
        if self.faults["outage"]:
            return Response(503, {"Error": "outage"})
        time.sleep(self.faults["slow_ms"] / 1_000)
        match request.method, request.parts:
            case "POST", ("v1", "log-append"):
                return self.append(request.text_query["Topic"], request.raw)
            case "GET", ("v1", "log-read"):
                return self.read(request.text_query)
            case "GET", ("v1", "log-newest"):
                return self.newest(request.text_query)
        return Response(404, {"Error": "no such path"})

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def append(self, name: str, body: bytes) -> Response:
        """Append records, after the time that a synced write takes."""
        if not self.take_append():
            return Response(429, {"Error": "too many appends"})
        time.sleep(SYNC_MS / 1_000)
        records = split_records(body)
        with self.lock:
            topic = self.topic(name)
            offset = topic.end
            for record in records:
                topic.append(record, name.startswith(KEYED_PREFIX))
            topic.drop(max(0, len(topic.records) - self.faults["retention"]))
            self.appends += 1
            lost = self.faults["lose_answers"] > 0
            self.faults["lose_answers"] -= 1 if lost else 0
            end = topic.end
        if lost:
            return Response(504, {"Error": "answer lost"})
        return Response(200, {"Offset": offset, "EndOffset": end})

    def take_append(self) -> bool:
        """Count an append against the rate of the present second."""
        with self.lock:
            second = int(time.monotonic())
            if second != self.window_s:
                self.window_s = second
                self.window_appends = 0
            self.window_appends += 1
            return self.window_appends <= APPENDS_PER_S

    def read(self, query: dict[str, str]) -> Response:
        """Read records from an offset on, waiting for the first one."""
        start = int(query["From"])
        until_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1_000
        while True:
            with self.lock:
                topic = self.topic(query["Topic"])
                if start < topic.first:
                    return Response(410, {"FirstOffset": topic.first})
                if start < topic.end or time.monotonic() >= until_s:
                    return Response(200, encode_read(topic, start))
            time.sleep(POLL_S)

    def newest(self, query: dict[str, str]) -> Response:
        """Return a page of the newest value of each key."""
        after = query.get("After", "")
        with self.lock:
            topic = self.topic(query["Topic"])
            keys = sorted(key for key in topic.newest if key > after)
            items = [
                {
                    "Key": key,
                    "Value": base64.b64encode(topic.newest[key][0]).decode(),
                    "Offset": topic.newest[key][1],
                }
                for key in keys[:PAGE_KEYS]
            ]
            more = len(keys) > PAGE_KEYS
            page = {"items": items, "HasMore": more, "EndOffset": topic.end}
        return Response(200, page)

    def put_key(self, name: str, key: str, value: object) -> None:
        """Write a key as the operator does."""
        raw = bytes([len(key)]) + key.encode() + msgspec.json.encode(value)
        with self.lock:
            self.topic(name).append(raw, keyed=True)


def split_records(body: bytes) -> list[bytes]:
    """Split the body of an append."""
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


def encode_read(topic: Topic, start: int) -> bytes:
    """Encode records from an offset on, up to the limit of one read."""
    parts = [OFFSETS.pack(topic.end, topic.first)]
    size = 0
    for record in topic.records[start - topic.first :]:
        size += LENGTH.size + len(record)
        if size > READ_LIMIT_BYTES:
            break
        parts.append(LENGTH.pack(len(record)) + record)
    return b"".join(parts)
