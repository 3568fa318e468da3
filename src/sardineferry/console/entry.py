"""The ``sardineferry-entry`` program."""

from __future__ import annotations

from pathlib import Path

import cyclopts
from returns.pipeline import is_successful

from sardineferry.console.errors import fail
from sardineferry.console.errors import fail_settings
from sardineferry.factory import build_entry
from sardineferry.loop import AddressError
from sardineferry.settings import load_entry_settings

__all__ = ["main"]

application = cyclopts.App(name="sardineferry-entry")


@application.default
def run(settings: Path) -> None:
    """Run an entry, which takes callers' jobs from the load balancer.

    Args:
        settings: The JSON settings file.

    """
    loaded = load_entry_settings(settings)
    if not is_successful(loaded):
        fail_settings(loaded.failure())
    try:
        process = build_entry(loaded.unwrap())
    except AddressError as error:
        fail(str(error))
    process.run()


def main() -> None:
    """Run the program."""
    application()
