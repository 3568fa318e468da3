"""Effects common to all processes: messages, links and exit."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Connect", "Disconnect", "Exit", "Send"]


class Send(NamedTuple):
    """Send a message over the link to an entry or agent."""

    to: str
    message: object


class Connect(NamedTuple):
    """Open a link to the entry at this address, and keep it open."""

    address: str


class Disconnect(NamedTuple):
    """Stop dialling an address."""

    address: str


class Exit(NamedTuple):
    """End the process."""

    reason: str
