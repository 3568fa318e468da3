"""The event with the registered entries of a deployment."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.burst import EntryEndpoint

__all__ = ["EntriesRead"]


class EntriesRead(NamedTuple):
    """Event: the list of registered entries was read from the platform's store."""

    entries: tuple[EntryEndpoint, ...]
