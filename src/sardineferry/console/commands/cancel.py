"""The ``cancel`` command."""

from __future__ import annotations

from sardineferry.console.entry_client import call_entry
from sardineferry.console.entry_client import quote
from sardineferry.console.reply import print_reply

__all__ = ["cancel"]


def cancel(entry: str, submission: str) -> None:
    """Cancel a job and print the outcome of each task.

    Args:
        entry: The host:port of an entry's HTTP interface.
        submission: The submission key.

    """
    path = f"/v1/jobs/{quote(submission, safe='')}"
    print_reply(call_entry(entry, "DELETE", path))
