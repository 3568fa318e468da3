"""Simulates the platform's metadata store with its published protocol.

``POST /faults`` sets any of these faults: ``outage`` (reads and appends are refused),
``slow_ms`` (added to each read and append), ``lose_answers`` (so many of the next
appends are carried out, but answered with an error) and ``retention`` (records kept
per topic). ``PUT /keys/TOPIC/KEY`` writes a key as the operator does.
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

# The platform's log takes several hundred appends a second.
MAX_APPENDS_PER_S = 500
SYNCED_WRITE_MS = 4
MAX_KEYS_PER_PAGE = 500
MAX_READ_BYTES = 1024 * 1024
# Time between two checks for new records while a read waits.
POLL_INTERVAL_S = 0.005
RECORD_LENGTH = struct.Struct(">I")
END_AND_FIRST_OFFSET = struct.Struct(">QQ")
KEYED_TOPIC_PREFIX = "keyed."


class LogFaults(TypedDict):
    """The faults that are set."""

    outage: bool
    slow_ms: int
    lose_answers: int
    retention: int


class Topic:
    """The records of a topic's only partition, and the newest value of each key."""

    def __init__(self) -> None:
        """Create an empty topic."""
        self.first_offset = 0
        self.records: list[bytes] = []
        # The newest value and its offset, by key.
        self.newest: dict[str, tuple[bytes, int]] = {}

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes, keyed: bool) -> None:
        """Append a record; in a keyed topic, also update the value of its key.

        A keyed record is one byte with the length of the key, the key and the
        value. An empty value deletes the key.
        """
        if keyed:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, self.end_offset)
        self.records.append(record)

    def delete_oldest(self, count: int) -> None:
        """Delete the oldest records."""
        del self.records[:count]
        self.first_offset += count


class LogStandin(WebStandin):
    """Keeps topics in memory, with a limited rate of appends."""

    def __init__(self) -> None:
        """Create a store without records or faults."""
        self.lock = threading.Lock()
        self.topics: dict[str, Topic] = {}
        # Appends carried out; ``appends_this_second`` includes refused ones.
        self.appends = 0
        self.current_second = 0
        self.appends_this_second = 0
        self.faults = LogFaults(
            outage=False, slow_ms=0, lose_answers=0, retention=1_000_000
        )

    def serve(self, request: Request) -> Response:
        """Serve the store's protocol, and requests to control the stand-in."""
        match request.method, request.path_parts:
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
        match request.method, request.path_parts:
            case "POST", ("v1", "log-append"):
                return self.append(request.query["Topic"], request.raw_body)
            case "GET", ("v1", "log-read"):
                return self.read(request.query)
            case "GET", ("v1", "log-newest"):
                return self.read_newest(request.query)
        return Response(404, {"Error": "no such path"})

    def get_or_create_topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def append(self, name: str, body: bytes) -> Response:
        """Append records after the time that a synced write takes."""
        if not self.count_append():
            return Response(429, {"Error": "too many appends"})
        time.sleep(SYNCED_WRITE_MS / 1_000)
        records = split_records(body)
        with self.lock:
            topic = self.get_or_create_topic(name)
            offset = topic.end_offset
            for record in records:
                topic.append(record, name.startswith(KEYED_TOPIC_PREFIX))
            topic.delete_oldest(max(0, len(topic.records) - self.faults["retention"]))
            self.appends += 1
            loses_answer = self.faults["lose_answers"] > 0
            self.faults["lose_answers"] -= 1 if loses_answer else 0
            end_offset = topic.end_offset
        if loses_answer:
            return Response(504, {"Error": "answer lost"})
        return Response(200, {"Offset": offset, "EndOffset": end_offset})

    def count_append(self) -> bool:
        """Count an append; return whether the limit of appends per second allows it."""
        with self.lock:
            second = int(time.monotonic())
            if second != self.current_second:
                self.current_second = second
                self.appends_this_second = 0
            self.appends_this_second += 1
            return self.appends_this_second <= MAX_APPENDS_PER_S

    def read(self, query: dict[str, str]) -> Response:
        """Return records from an offset on; wait up to ``WaitMs`` for the first."""
        start_offset = int(query["From"])
        until_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1_000
        while True:
            with self.lock:
                topic = self.get_or_create_topic(query["Topic"])
                if start_offset < topic.first_offset:
                    return Response(410, {"FirstOffset": topic.first_offset})
                if start_offset < topic.end_offset or time.monotonic() >= until_s:
                    return Response(200, encode_records(topic, start_offset))
            time.sleep(POLL_INTERVAL_S)

    def read_newest(self, query: dict[str, str]) -> Response:
        """Return a page of the newest values, for the keys that follow ``After``."""
        after = query.get("After", "")
        with self.lock:
            topic = self.get_or_create_topic(query["Topic"])
            keys = sorted(key for key in topic.newest if key > after)
            items = [
                {
                    "Key": key,
                    "Value": base64.b64encode(topic.newest[key][0]).decode(),
                    "Offset": topic.newest[key][1],
                }
                for key in keys[:MAX_KEYS_PER_PAGE]
            ]
            has_more = len(keys) > MAX_KEYS_PER_PAGE
            page = {
                "items": items,
                "HasMore": has_more,
                "EndOffset": topic.end_offset,
            }
        return Response(200, page)

    def put_key(self, name: str, key: str, value: object) -> None:
        """Set the value of a key, as the operator does."""
        record = bytes([len(key)]) + key.encode() + msgspec.json.encode(value)
        with self.lock:
            self.get_or_create_topic(name).append(record, keyed=True)


def split_records(body: bytes) -> list[bytes]:
    """Split the body of an append into records."""
    records = []
    position = 0
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


def encode_records(topic: Topic, start_offset: int) -> bytes:
    """Encode the records from an offset on, up to the size limit of one read."""
    parts = [END_AND_FIRST_OFFSET.pack(topic.end_offset, topic.first_offset)]
    size_bytes = 0
    for record in topic.records[start_offset - topic.first_offset :]:
        size_bytes += RECORD_LENGTH.size + len(record)
        if size_bytes > MAX_READ_BYTES:
            break
        parts.append(RECORD_LENGTH.pack(len(record)) + record)
    return b"".join(parts)
