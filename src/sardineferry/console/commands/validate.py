"""The ``validate`` command."""

from __future__ import annotations

import sys
from pathlib import Path

from returns.pipeline import is_successful

from sardineferry.console.errors import fail_settings
from sardineferry.settings import check_settings

__all__ = ["validate"]


def validate(settings: Path) -> None:
    """Check a settings file and list every error.

    Args:
        settings: The JSON settings file of an entry or agent.

    """
    checked = check_settings(settings)
    if not is_successful(checked):
        fail_settings(checked.failure())
    sys.stdout.write(f"{settings}: valid {checked.unwrap()['role']} settings\n")
