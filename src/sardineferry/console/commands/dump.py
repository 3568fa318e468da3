"""The ``dump`` command."""

from __future__ import annotations

from sardineferry.console.entry_client import call_entry
from sardineferry.console.entry_client import quote
from sardineferry.console.reply import print_reply

__all__ = ["dump"]


def dump(entry: str, agent: str = "") -> None:
    """Print the state of an entry, or of an agent linked to it.

    Args:
        entry: The host:port of an entry's HTTP interface.
        agent: The name of an agent; the entry itself if not given.

    """
    path = f"/v1/agents/{quote(agent, safe='')}/dump" if agent else "/v1/dump"
    print_reply(call_entry(entry, "GET", path))
