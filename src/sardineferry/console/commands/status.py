"""The ``status`` command."""

from __future__ import annotations

from sardineferry.console.entry_client import call_entry
from sardineferry.console.entry_client import quote
from sardineferry.console.reply import print_reply

__all__ = ["status"]


def status(entry: str, submission: str, wait_ms: int = 0) -> None:
    """Show a job's state, or its answer if it has ended.

    Args:
        entry: The host:port of an entry's HTTP interface.
        submission: The submission key.
        wait_ms: How long to wait for the answer, in milliseconds.

    """
    path = f"/v1/jobs/{quote(submission, safe='')}?wait_ms={wait_ms}"
    print_reply(call_entry(entry, "GET", path))
