"""The entry process: callers' HTTP, links to agents and peers, the log."""

from __future__ import annotations

from sardineferry.entry.process import EntryProcess

__all__ = ["EntryProcess"]
