"""Reads and prints the state of a process on request."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["print_dump", "read_torn"]

TRIES = 10
PAUSE_S = 0.005


def read_torn(read: Callable[[], str]) -> str:
    """Read state that another thread owns; a concurrent change is retried."""
    for _ in range(TRIES):
        try:
            return read()
        except RuntimeError:
            time.sleep(PAUSE_S)
    return read()


def print_dump(read: Callable[[], str]) -> None:
    """Print the state to standard error, on a signal."""
    sys.stderr.write(read() + "\n")
    sys.stderr.flush()
