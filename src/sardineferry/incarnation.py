"""Names of a process's runs."""

from __future__ import annotations

import os

__all__ = ["new_incarnation"]

BYTES = 6


def new_incarnation() -> str:
    """Return a name that no earlier run of the process had."""
    return os.urandom(BYTES).hex()
