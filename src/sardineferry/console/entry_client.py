"""Calls the HTTP API of an entry, for the operators' commands."""

from __future__ import annotations

import http.client
from typing import NamedTuple
from urllib.parse import quote

from returns.result import Failure
from returns.result import Result
from returns.result import Success

__all__ = ["EntryReply", "call_entry", "quote"]

# Longer than the 300 s for which an entry lets a caller wait for an answer.
REQUEST_TIMEOUT_S = 320.0


class EntryReply(NamedTuple):
    """The status of an HTTP response and its body, which is JSON."""

    status: int
    text: str


def call_entry(
    address: str, method: str, path: str, body: bytes | None = None
) -> Result[EntryReply, str]:
    """Send a request to the entry at ``address``, which is ``host:port``."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return Success(EntryReply(response.status, response.read().decode()))
    except (OSError, http.client.HTTPException) as error:
        return Failure(f"entry {address} cannot be reached: {error!r}")
    finally:
        connection.close()
