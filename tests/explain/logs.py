"""Writes logs for the tests of ``explain``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["line", "write"]


def line(event: str, **fields: object) -> bytes:
    """Return a log line; ``fields`` may also replace its time."""
    record = {"at": "2026-01-01T00:00:01.000+00:00", "level": "INFO", "event": event}
    return msgspec.json.encode({**record, "part": "p", **fields}) + b"\n"


def write(directory: Path, **logs: list[bytes]) -> list[Path]:
    """Write one file for each log and return their paths."""
    paths = []
    for name, lines in logs.items():
        path = directory / f"{name}.log"
        path.write_bytes(b"".join(lines))
        paths.append(path)
    return paths
