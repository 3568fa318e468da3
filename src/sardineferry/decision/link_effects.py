"""Effects that every process carries out: messages, links, leaving."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Connect", "Disconnect", "Exit", "Send"]


class Send(NamedTuple):
    """Send a message over the link to an entry or agent."""

    to: str
    message: object


class Connect(NamedTuple):
    """Open a link to an entry at this address."""

    address: str


class Disconnect(NamedTuple):
    """Dial an address no longer; nobody answered there for long."""

    address: str


class Exit(NamedTuple):
    """End the process; nothing is in flight."""

    reason: str
