"""The entry process, which serves callers over HTTP and links to agents and peers."""

from __future__ import annotations

from sardineferry.entry.process import EntryProcess
from sardineferry.entry.process import entry_client_budget

__all__ = ["EntryProcess", "entry_client_budget"]
