"""The ``drain`` command."""

from __future__ import annotations

from sardineferry.console.entry_client import call_entry
from sardineferry.console.entry_client import quote
from sardineferry.console.reply import print_reply

__all__ = ["drain"]


def drain(entry: str, agent: str) -> None:
    """Drain an agent: it gets no new tasks and exits after the running ones.

    Args:
        entry: The host:port of an entry's HTTP interface.
        agent: The name of the agent.

    """
    path = f"/v1/agents/{quote(agent, safe='')}/drain"
    print_reply(call_entry(entry, "POST", path, b"{}"))
