"""Identifiers that distinguish a process from its earlier runs."""

from __future__ import annotations

import os

__all__ = ["new_incarnation"]

INCARNATION_BYTES = 6


def new_incarnation() -> str:
    """Return a random identifier for this run of the process."""
    return os.urandom(INCARNATION_BYTES).hex()
