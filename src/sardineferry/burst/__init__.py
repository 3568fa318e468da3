"""The processes that serve burst jobs on an operator's platform."""

from __future__ import annotations

from sardineferry.burst.agent import BurstAgentProcess
from sardineferry.burst.entry import BurstEntryProcess

__all__ = ["BurstAgentProcess", "BurstEntryProcess"]
