"""The entries of a deployment, as processes learn of them."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.burst import EntryEndpoint

__all__ = ["EntriesRead"]


class EntriesRead(NamedTuple):
    """All entries that are registered on the platform's store."""

    places: tuple[EntryEndpoint, ...]
