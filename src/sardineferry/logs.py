"""Logging as lines of text or JSON that name the part of the program.

On an operator's platform each line is a JSON object on standard output, written
by a separate thread: a slow reader of the output costs log lines, but never
blocks the process. Both forms use the standard library's ``logging``, because
``loguru`` took a quarter of the processor time of a start.
"""

from __future__ import annotations

import json
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
    "LogWriter",
    "configure_logs",
    "configure_structured_logs",
    "part_logger",
]

ROOT_LOGGER = "sardineferry"
LINE_FORMAT = "%(asctime)s.%(msecs)03dZ %(levelname)s [%(part)s] %(message)s"
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
# The rate limit of log lines, and how many may come in a burst. At the users' peak
# load an entry makes 150 decisions a second and logs each of them.
MAX_LINES_PER_S = 400
MAX_BURST_LINES = 1_200
MAX_QUEUED_LINES = 4_000
# How long lines are collected before they are written together, because each
# batch has to wake the writing thread.
BATCH_DELAY_S = 0.1


def part_logger(part: str) -> logging.Logger:
    """Return a logger whose lines name a part of the program."""
    return logging.getLogger(f"{ROOT_LOGGER}.{part}")


def part_of(record: logging.LogRecord) -> str:
    """Return the part of the program that logged a record."""
    return record.name.removeprefix(f"{ROOT_LOGGER}.")


class TextFormatter(logging.Formatter):
    """Formats records as lines of text, with times in UTC.

    ``extra={"fields": ...}`` adds fields as JSON at the end of the line.
    """

    def __init__(self) -> None:
        """Set the format."""
        super().__init__(LINE_FORMAT, TIME_FORMAT)
        self.converter = time.gmtime

    def format(self, record: logging.LogRecord) -> str:
        """Format a record with the part that logged it."""
        record.part = part_of(record)
        line = super().format(record)
        fields = getattr(record, "fields", None)
        return f"{line} {encode_fields(fields)}" if fields else line


class JsonFormatter(logging.Formatter):
    """Formats records as JSON objects; ``extra={"fields": ...}`` adds fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line of JSON."""
        fields: dict[str, object] = {
            "at": format_time(record.created),
            "level": record.levelname,
            "event": record.getMessage(),
            "part": part_of(record),
            **getattr(record, "fields", {}),
        }
        if record.exc_info is not None:
            fields["error"] = self.formatException(record.exc_info)
        return encode_fields(fields)


def format_time(unix_s: float) -> str:
    """Return a Unix time as ISO 8601 in UTC, to the millisecond."""
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="milliseconds")


def encode_fields(fields: dict[str, object]) -> str:
    """Encode fields as a JSON object, with ``str`` for types that JSON lacks."""
    try:
        return msgspec.json.encode(fields, enc_hook=str).decode()
    except (OverflowError, UnicodeEncodeError):
        # Numbers beyond 64 bits, or text with lone surrogates. An exception here would
        # end the handler that logs.
        return json.dumps(fields, default=str)


def install_handler(handler: logging.Handler, level: str) -> None:
    """Make this the only handler for the log records of all parts."""
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def configure_logs(level: str, json_lines: bool) -> None:
    """Log to standard error, as lines of text or of JSON."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if json_lines else TextFormatter())
    install_handler(handler, level)


class LogWriter(logging.Handler):
    """Writes JSON lines in a separate thread; a token bucket limits their rate.

    Lines beyond the limit are dropped, and their number is logged.
    """

    def __init__(self, stream: TextIO) -> None:
        """Prepare to write to a stream; ``start`` starts the thread."""
        super().__init__()
        self.stream = stream
        self.queued_lines: list[str] = []
        self.lines_queued = threading.Event()
        self.tokens = float(MAX_BURST_LINES)
        self.refilled_at_s = time.monotonic()
        self.dropped_count = 0
        self.setFormatter(JsonFormatter())
        self.thread = threading.Thread(target=self.run, name="log", daemon=True)

    def start(self) -> None:
        """Start the writing thread."""
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record; called by the ``logging`` module."""
        self.put(self.format(record))

    def queue_decision(self, part: str, event: str, fields: dict[str, object]) -> None:
        """Queue a decision without the overhead of ``logging``.

        Most log lines are decisions.
        """
        record = {
            "at": format_time(time.time()),
            "level": "INFO",
            "event": event,
            "part": part,
            **fields,
        }
        self.put(encode_fields(record))

    def put(self, line: str) -> None:
        """Queue a line, or drop it if the rate limit or the queue is full."""
        now_s = time.monotonic()
        refill = (now_s - self.refilled_at_s) * MAX_LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + refill)
        self.refilled_at_s = now_s
        if self.tokens < 1.0 or len(self.queued_lines) >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        self.tokens -= 1.0
        self.queued_lines.append(line)
        if not self.lines_queued.is_set():
            self.lines_queued.set()

    def run(self) -> None:
        """Write queued lines for ever; runs in the writing thread."""
        while True:
            self.lines_queued.wait()
            time.sleep(BATCH_DELAY_S)
            self.write_queued()

    def write_queued(self) -> None:
        """Write the queued lines and the number of dropped ones."""
        self.lines_queued.clear()
        lines, self.queued_lines = self.queued_lines, []
        dropped, self.dropped_count = self.dropped_count, 0
        if dropped:
            lines.append(f'{{"event":"log lines dropped","count":{dropped}}}')
        if lines:
            lines.append("")
            self.stream.write("\n".join(lines))
            self.stream.flush()


def configure_structured_logs(level: str) -> LogWriter:
    """Log to standard output in a separate thread, one JSON object a line."""
    writer = LogWriter(sys.stdout)
    writer.start()
    install_handler(writer, level)
    return writer
