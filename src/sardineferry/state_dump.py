"""Prints the state of a process on request."""

from __future__ import annotations

import sys

__all__ = ["print_dump"]


def print_dump(text: str) -> None:
    """Print the state to standard error, on a signal."""
    sys.stderr.write(text + "\n")
    sys.stderr.flush()
