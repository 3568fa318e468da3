"""The ``sardineferry-agent`` program."""

from __future__ import annotations

from pathlib import Path

import cyclopts
from returns.pipeline import is_successful

from sardineferry.console.errors import fail_settings
from sardineferry.factory import build_agent
from sardineferry.settings import load_agent_settings

__all__ = ["main"]

application = cyclopts.App(name="sardineferry-agent")


@application.default
def run(settings: Path) -> None:
    """Run the agent of a target.

    Args:
        settings: The JSON settings file.

    """
    loaded = load_agent_settings(settings)
    if not is_successful(loaded):
        fail_settings(loaded.failure())
    build_agent(loaded.unwrap()).run()


def main() -> None:
    """Run the program."""
    application()
