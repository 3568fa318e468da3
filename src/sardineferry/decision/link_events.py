"""Events that every core has a rule for: links, entries' addresses, leaving."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["AddressesRead", "Drain", "LinkDown", "LinkUp"]


class AddressesRead(NamedTuple):
    """Link addresses of entries, as read from the platform's store."""

    addresses: tuple[str, ...]


class Drain(NamedTuple):
    """The process was asked to finish what is in flight and leave."""

    reason: str


class LinkDown(NamedTuple):
    """A link closed."""

    name: str


class LinkUp(NamedTuple):
    """A link opened; ``name`` is the entry or agent at the far end."""

    name: str
