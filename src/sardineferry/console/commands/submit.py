"""The ``submit`` command."""

from __future__ import annotations

from pathlib import Path

from sardineferry.console.entry_client import call_entry
from sardineferry.console.errors import fail
from sardineferry.console.reply import print_reply

__all__ = ["submit"]


def submit(entry: str, job: Path) -> None:
    """Submit a job, wait for its answer and print it.

    Args:
        entry: The host:port of an entry's HTTP interface.
        job: A JSON file with the job, as docs/API.md describes.

    """
    try:
        body = job.read_bytes()
    except OSError as error:
        fail(f"cannot read {job}: {error.strerror}")
    print_reply(call_entry(entry, "POST", "/v1/jobs", body))
