"""Events common to several processes: links, entry addresses and draining."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["AddressesRead", "Drain", "LinkDown", "LinkUp", "SendRejected"]


class AddressesRead(NamedTuple):
    """The settings file was read; ``addresses`` are link addresses of entries."""

    addresses: tuple[str, ...]


class Drain(NamedTuple):
    """The process was asked to finish its work in flight and exit."""

    reason: str


class LinkDown(NamedTuple):
    """A link closed."""

    name: str


class LinkUp(NamedTuple):
    """A link opened; ``name`` is the entry or agent at the other end."""

    name: str


class SendRejected(NamedTuple):
    """A message to ``link`` was not sent, as it can't be encoded.

    No repetition of it can be sent either.
    """

    link: str
    message: object
