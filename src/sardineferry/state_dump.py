"""Prints the state of a process for an operator."""

from __future__ import annotations

import sys

__all__ = ["print_dump"]


def print_dump(text: str) -> None:
    """Print the state to standard error."""
    sys.stderr.write(text + "\n")
    sys.stderr.flush()
