"""The ``preset`` commands."""

from __future__ import annotations

from typing import Literal

import cyclopts
import msgspec

from sardineferry.console.entry_client import call_entry
from sardineferry.console.reply import print_reply

__all__ = ["application"]

application = cyclopts.App(name="preset", help="Show or change the preset.")


@application.command(name="get")
def get_preset(entry: str) -> None:
    """Show the preset in force.

    Args:
        entry: The host:port of an entry's HTTP interface.

    """
    print_reply(call_entry(entry, "GET", "/v1/preset"))


@application.command(name="set")
def set_preset(
    entry: str, name: Literal["ordinary", "peak", "maintenance"], expect: int
) -> None:
    """Change the preset, if the version in force is as expected.

    Args:
        entry: The host:port of an entry's HTTP interface.
        name: The preset to put in force.
        expect: The version that the change replaces.

    """
    body = msgspec.json.encode({"name": name, "expected_version": expect})
    print_reply(call_entry(entry, "PUT", "/v1/preset", body))
