"""Prints errors and exits, for all commands."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import NoReturn

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.settings import SettingsError

__all__ = ["fail", "fail_settings"]

# Exit status for a failure that has no status of its own.
EXIT_FAILURE = 1
# Exit status for a wrong settings file or command line.
EXIT_SETTINGS = 2


def fail(reason: str) -> NoReturn:
    """Print an error to standard error and exit with status 1."""
    sys.stderr.write(f"error: {reason}\n")
    sys.exit(EXIT_FAILURE)


def fail_settings(errors: Iterable[SettingsError]) -> NoReturn:
    """Print each error of a settings file on its own line and exit with status 2."""
    for error in errors:
        sys.stderr.write(f"error: {error.path}: {error.reason}\n")
    sys.exit(EXIT_SETTINGS)
