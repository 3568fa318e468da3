"""Prints errors and exits, for all commands."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import NoReturn

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from sardineferry.settings import SettingsError

__all__ = ["fail", "fail_settings", "fail_unreadable"]

# Exit status for a failure that has no status of its own.
EXIT_FAILURE = 1
# Exit status for a wrong settings file or command line.
EXIT_SETTINGS = 2
# Exit status for a file that can't be read, of commands for which 1 is a result.
EXIT_UNREADABLE = 2


def fail(reason: str) -> NoReturn:
    """Print an error to standard error and exit with status 1."""
    sys.stderr.write(f"error: {reason}\n")
    sys.exit(EXIT_FAILURE)


def fail_settings(errors: Iterable[SettingsError]) -> NoReturn:
    """Print each error of a settings file on its own line and exit with status 2."""
    for error in errors:
        sys.stderr.write(f"error: {error.path}: {error.reason}\n")
    sys.exit(EXIT_SETTINGS)


def fail_unreadable(path: Path, reason: str) -> NoReturn:
    """Print why a file can't be read to standard error and exit with status 2."""
    sys.stderr.write(f"error: can't read {path}: {reason}\n")
    sys.exit(EXIT_UNREADABLE)
