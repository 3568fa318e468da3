"""The event that brings the registered entries of a deployment."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.burst import EntryEndpoint

__all__ = ["EntriesRead"]


class EntriesRead(NamedTuple):
    """Event: all entries that are registered in the platform's store were read."""

    places: tuple[EntryEndpoint, ...]
