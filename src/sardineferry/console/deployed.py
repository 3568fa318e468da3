"""Runs an entry or an agent on an operator's platform.

The role is the only argument, and an environment variable names the settings
file. The argument is parsed without a library to shorten the start, during
which nothing is served: importing ``cyclopts`` takes a third of the start time
and ``argparse`` a tenth.
"""

from __future__ import annotations

import importlib
import os
import sys
from typing import TYPE_CHECKING
from typing import Protocol

from returns.result import Failure

from sardineferry.console.errors import EXIT_SETTINGS
from sardineferry.console.errors import fail
from sardineferry.console.errors import fail_settings
from sardineferry.loop import AddressError
from sardineferry.metrics_server import METRICS_PORT
from sardineferry.platform.settings import load_deployment_settings
from sardineferry.platform.settings import settings_path

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from sardineferry.settings import DeploymentSettings

__all__ = ["main"]

METRICS_PORT_VARIABLE = "SARDINEFERRY_METRICS_PORT"
ROLES = ("agent", "entry")
USAGE = "usage: python -m sardineferry.console.deployed {agent,entry}\n"


class Program(Protocol):
    """An entry or an agent that is ready to run."""

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""


def builder_of(role: str) -> Callable[[DeploymentSettings, Path, int], Program]:
    """Return the function that builds a role's program; import only its modules."""
    module = importlib.import_module(f"sardineferry.deployment.{role}")
    builder: Callable[[DeploymentSettings, Path, int], Program] = module.build
    return builder


def metrics_port() -> int:
    """Return the port on which metrics are served.

    Processes on the same machine need different ports, so the environment can
    override the default.
    """
    return int(os.environ.get(METRICS_PORT_VARIABLE, METRICS_PORT))


def run(role: str) -> None:
    """Serve as an entry or as an agent until SIGTERM or SIGINT."""
    path = settings_path()
    loaded = load_deployment_settings(path)
    if isinstance(loaded, Failure):
        fail_settings(loaded.failure())
    try:
        process = builder_of(role)(loaded.unwrap(), path, metrics_port())
    except AddressError as error:
        fail(str(error))
    process.run()


def main() -> None:
    """Run the program."""
    arguments = sys.argv[1:]
    if arguments in (["-h"], ["--help"]):
        sys.stdout.write(USAGE)
        return
    if len(arguments) != 1 or arguments[0] not in ROLES:
        sys.stderr.write(USAGE)
        sys.exit(EXIT_SETTINGS)
    run(arguments[0])


if __name__ == "__main__":
    main()
