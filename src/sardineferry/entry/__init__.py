"""The entry process, which serves callers over HTTP and links to agents and peers."""

from __future__ import annotations

from sardineferry.entry.process import EntryProcess

__all__ = ["EntryProcess"]
