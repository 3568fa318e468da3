"""The monotonic clock of processes, in milliseconds."""

from __future__ import annotations

import time

__all__ = ["now_ms"]

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return milliseconds on the monotonic clock."""
    return time.monotonic_ns() // NS_PER_MS
