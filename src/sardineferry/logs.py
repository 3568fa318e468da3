"""Logging: short sentences with a fixed prefix for each part.

On a platform each line is a JSON object on standard output instead, written
by a thread of its own: a reader that is slow costs lines, never time. The
standard library's ``logging`` serves both; ``loguru`` took a quarter of a
start's processor time.
"""

from __future__ import annotations

import logging
import sys
import threading
import time
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from typing import TextIO

__all__ = [
    "LineWriter",
    "configure_logs",
    "configure_structured_logs",
    "part_logger",
]

ROOT = "sardineferry"
LINE_FORMAT = "%(asctime)s.%(msecs)03dZ %(levelname)s [%(part)s] %(message)s"
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
# Lines a second, and in a burst; at the users' peak an entry decides 150 times
# a second.
LINES_PER_S = 400
LINE_BURST = 1_200
QUEUE_LIMIT = 4_000
# Lines of this time are written together: each write wakes a thread.
GATHER_S = 0.1


def part_logger(part: str) -> logging.Logger:
    """Return a logger whose lines carry the prefix of a part."""
    return logging.getLogger(f"{ROOT}.{part}")


def part_of(record: logging.LogRecord) -> str:
    """Return the part that a record is from."""
    return record.name.removeprefix(f"{ROOT}.")


class TextFormatter(logging.Formatter):
    """Lines of text, in UTC."""

    def __init__(self) -> None:
        """Set the format."""
        super().__init__(LINE_FORMAT, TIME_FORMAT)
        self.converter = time.gmtime

    def format(self, record: logging.LogRecord) -> str:
        """Name the part."""
        record.part = part_of(record)
        return super().format(record)


class JsonFormatter(logging.Formatter):
    """Lines of JSON; ``extra={"fields": ...}`` adds fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Put a record into one line."""
        fields: dict[str, object] = {
            "at": time_text(record.created),
            "level": record.levelname,
            "event": record.getMessage(),
            "part": part_of(record),
            **getattr(record, "fields", {}),
        }
        if record.exc_info is not None:
            fields["error"] = self.formatException(record.exc_info)
        return encode_fields(fields)


def time_text(unix_s: float) -> str:
    """Return a time of day as ISO 8601 in UTC, to the millisecond."""
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="milliseconds")


def encode_fields(fields: dict[str, object]) -> str:
    """Return a JSON object; what JSON has no form for becomes its text."""
    return msgspec.json.encode(fields, enc_hook=str).decode()


def install(handler: logging.Handler, level: str) -> None:
    """Let one handler take what all parts log."""
    root = logging.getLogger(ROOT)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def configure_logs(level: str, json_lines: bool) -> None:
    """Write logs to standard error, as lines of text or of JSON."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if json_lines else TextFormatter())
    install(handler, level)


class LineWriter(logging.Handler):
    """Writes lines in a thread, within a rate; what exceeds it is counted."""

    def __init__(self, stream: TextIO) -> None:
        """Name the stream to write to."""
        super().__init__()
        self.stream = stream
        self.lines: list[str] = []
        self.waiting = threading.Event()
        self.tokens = float(LINE_BURST)
        self.refilled_s = time.monotonic()
        self.dropped = 0
        self.setFormatter(JsonFormatter())
        self.thread = threading.Thread(target=self.run, name="log", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record of the logging library."""
        self.put(self.format(record))

    def put_decision(self, part: str, event: str, fields: dict[str, object]) -> None:
        """Queue a decision; most lines are, so they pass the library by."""
        record = {
            "at": time_text(time.time()),
            "level": "INFO",
            "event": event,
            "part": part,
            **fields,
        }
        self.put(encode_fields(record))

    def put(self, line: str) -> None:
        """Queue a line, or drop it."""
        now_s = time.monotonic()
        refill = (now_s - self.refilled_s) * LINES_PER_S
        self.tokens = min(LINE_BURST, self.tokens + refill)
        self.refilled_s = now_s
        if self.tokens < 1.0 or len(self.lines) >= QUEUE_LIMIT:
            self.dropped += 1
            return
        self.tokens -= 1.0
        self.lines.append(line)
        if not self.waiting.is_set():
            self.waiting.set()

    def run(self) -> None:
        """Write lines as they come."""
        while True:
            self.waiting.wait()
            time.sleep(GATHER_S)
            self.write_waiting()

    def write_waiting(self) -> None:
        """Write what is queued."""
        self.waiting.clear()
        lines, self.lines = self.lines, []
        dropped, self.dropped = self.dropped, 0
        if dropped:
            lines.append(f'{{"event":"log lines dropped","count":{dropped}}}')
        if lines:
            lines.append("")
            self.stream.write("\n".join(lines))
            self.stream.flush()


def configure_structured_logs(level: str) -> LineWriter:
    """Write logs to standard output, one JSON object a line."""
    writer = LineWriter(sys.stdout)
    writer.start()
    install(writer, level)
    return writer
