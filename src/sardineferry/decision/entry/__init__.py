"""Decisions of the entry: admission, routing, retries, claims, recovery."""

from __future__ import annotations

from sardineferry.decision.entry.core import EntryCore
from sardineferry.decision.entry.policy import EntryPolicy

__all__ = ["EntryCore", "EntryPolicy"]
