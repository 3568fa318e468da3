"""Identifiers that tell one run of a process from the next."""

from __future__ import annotations

import os

__all__ = ["new_incarnation"]

INCARNATION_BYTES = 6


def new_incarnation() -> str:
    """Return a random identifier that no earlier run of the process had."""
    return os.urandom(INCARNATION_BYTES).hex()
