"""Prints the reply of an entry, for the operators' commands."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from sardineferry.console.errors import EXIT_FAILURE
from sardineferry.console.errors import fail

if TYPE_CHECKING:
    from returns.result import Result

    from sardineferry.console.entry_client import EntryReply

__all__ = ["print_reply"]

HTTP_BAD_REQUEST = 400


def print_reply(result: Result[EntryReply, str]) -> None:
    """Print a reply as indented JSON.

    Exit with an error if the entry was not reached or the status is an error.
    """
    if not is_successful(result):
        fail(result.failure())
    reply = result.unwrap()
    sys.stdout.write(json.dumps(json.loads(reply.text), indent=2) + "\n")
    if reply.status >= HTTP_BAD_REQUEST:
        sys.exit(EXIT_FAILURE)
