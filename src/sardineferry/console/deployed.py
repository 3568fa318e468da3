"""The programs as an operator's platform runs them: by role and settings file.

Arguments are read by ``argparse``: ``cyclopts`` takes a third of the time that
a process needs to start, in which it serves nobody.
"""

from __future__ import annotations

import argparse
import os
from typing import TYPE_CHECKING
from typing import Protocol

from returns.result import Failure

from sardineferry.console.outcome import fail
from sardineferry.console.outcome import fail_settings
from sardineferry.deployment import build_deployed_agent
from sardineferry.deployment import build_deployed_entry
from sardineferry.exposition import METRICS_PORT
from sardineferry.http_server import HttpError
from sardineferry.platform.settings import load_deployment_settings
from sardineferry.platform.settings import settings_path
from sardineferry.transport.listener import ListenerError

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from sardineferry.settings import DeploymentSettings

__all__ = ["main"]
METRICS_VARIABLE = "SARDINEFERRY_METRICS_PORT"


class Program(Protocol):
    """A process that is ready to run."""

    def run(self) -> None:
        """Serve until a signal."""


BUILDERS: dict[str, Callable[[DeploymentSettings, Path, int], Program]] = {
    "entry": build_deployed_entry,
    "agent": build_deployed_agent,
}


def metrics_port() -> int:
    """Return the port for metrics; several processes on a machine need theirs."""
    return int(os.environ.get(METRICS_VARIABLE, METRICS_PORT))


def run(role: str) -> None:
    """Serve as an entry or as an agent until SIGTERM."""
    path = settings_path()
    loaded = load_deployment_settings(path)
    if isinstance(loaded, Failure):
        fail_settings(loaded.failure())
    try:
        process = BUILDERS[role](loaded.unwrap(), path, metrics_port())
    except (HttpError, ListenerError) as error:
        fail(str(error))
    process.run()


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(prog="sardineferry-deployed")
    parser.add_argument("role", choices=sorted(BUILDERS))
    run(parser.parse_args().role)


if __name__ == "__main__":
    main()
