"""Logging: short sentences with a fixed prefix for each part.

On a platform each line is a JSON object on standard output instead, written
by a thread of its own: a reader that is slow costs lines, never time.
"""

from __future__ import annotations

import queue
import sys
import threading
import time
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from typing import TextIO

    from loguru import Logger
    from loguru import Message
    from loguru import Record

__all__ = [
    "LineWriter",
    "configure_logs",
    "configure_structured_logs",
    "part_logger",
]

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} [{extra[part]}] {message}"
# Lines a second, and in a burst; at the users' peak an entry decides 150 times
# a second.
LINES_PER_S = 400
LINE_BURST = 1_200
QUEUE_LIMIT = 4_000


def configure_logs(level: str, json_lines: bool) -> None:
    """Write logs to standard error, as lines of text or of JSON."""
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(sys.stderr, level=level, format=LINE_FORMAT, serialize=json_lines)


def part_logger(part: str) -> Logger:
    """Return a logger whose lines carry the prefix of a part."""
    return logger.bind(part=part)


class LineWriter:
    """Writes lines in a thread, within a rate; what exceeds it is counted."""

    def __init__(self, stream: TextIO) -> None:
        """Name the stream to write to."""
        self.stream = stream
        self.lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.tokens = float(LINE_BURST)
        self.refilled_s = time.monotonic()
        self.dropped = 0
        self.thread = threading.Thread(target=self.run, name="log", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def put_record(self, message: Message) -> None:
        """Queue a record that the logging library has formatted."""
        self.put(str(message))

    def put_decision(self, part: str, event: str, fields: dict[str, object]) -> None:
        """Queue a decision; most lines are, so they pass the library by."""
        record = {
            "at": datetime.now(UTC).isoformat(timespec="milliseconds"),
            "level": "INFO",
            "event": event,
            "part": part,
            **fields,
        }
        self.put(encode_fields(record) + "\n")

    def put(self, line: str) -> None:
        """Queue a line, or drop it."""
        now_s = time.monotonic()
        refill = (now_s - self.refilled_s) * LINES_PER_S
        self.tokens = min(LINE_BURST, self.tokens + refill)
        self.refilled_s = now_s
        if self.tokens < 1.0 or self.lines.qsize() >= QUEUE_LIMIT:
            self.dropped += 1
            return
        self.tokens -= 1.0
        self.lines.put(line)

    def run(self) -> None:
        """Write lines as they come."""
        while True:
            lines = [self.lines.get()]
            while not self.lines.empty():
                lines.append(self.lines.get())
            dropped, self.dropped = self.dropped, 0
            if dropped:
                lines.append(f'{{"event":"log lines dropped","count":{dropped}}}\n')
            self.stream.write("".join(lines))
            self.stream.flush()


def encode_fields(fields: dict[str, object]) -> str:
    """Return a JSON object; what JSON has no form for becomes its text."""
    return msgspec.json.encode(fields, enc_hook=str).decode()


def format_json(record: Record) -> str:
    """Put a record into one line of JSON; returns the template for it."""
    fields = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
        **{key: item for key, item in record["extra"].items() if key != "line"},
    }
    if record["exception"] is not None:
        fields["error"] = repr(record["exception"].value)
    record["extra"]["line"] = encode_fields(fields)
    return "{extra[line]}\n"


def configure_structured_logs(level: str) -> LineWriter:
    """Write logs to standard output, one JSON object a line."""
    writer = LineWriter(sys.stdout)
    writer.start()
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(
        writer.put_record,
        level=level,
        format=format_json,
        backtrace=False,
        diagnose=False,
    )
    return writer
