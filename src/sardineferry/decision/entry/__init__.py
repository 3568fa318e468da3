"""Decision logic of an entry: admission, routing, retries, claims, recovery."""

from __future__ import annotations

from sardineferry.decision.entry.core import EntryCore
from sardineferry.decision.entry.policy import EntryPolicy
from sardineferry.decision.entry.state import EntryState

__all__ = ["EntryCore", "EntryPolicy", "EntryState"]
