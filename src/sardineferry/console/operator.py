"""The ``sardineferry`` program, with commands for operators."""

from __future__ import annotations

import cyclopts

from sardineferry import __version__
from sardineferry.console.commands import preset
from sardineferry.console.commands.cancel import cancel
from sardineferry.console.commands.check_configuration import check_configuration
from sardineferry.console.commands.drain import drain
from sardineferry.console.commands.dump import dump
from sardineferry.console.commands.explain import explain
from sardineferry.console.commands.status import status
from sardineferry.console.commands.submit import submit
from sardineferry.console.commands.validate import validate

__all__ = ["main"]

application = cyclopts.App(name="sardineferry", version=__version__)
application.command(preset.application)
for command in (
    cancel,
    check_configuration,
    drain,
    dump,
    explain,
    status,
    submit,
    validate,
):
    application.command(command)


def main() -> None:
    """Run the program."""
    application()
