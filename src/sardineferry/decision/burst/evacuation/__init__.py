"""Evacuation of data centres: no process may start a run in an evacuated one.

The list of evacuated data centres and its distribution over links are pure. The event
handlers are in ``entry_handlers`` and ``agent_handlers``, so that each process imports
only its own.
"""

from __future__ import annotations

from sardineferry.decision.burst.evacuation.relay import EVACUATED
from sardineferry.decision.burst.evacuation.relay import EvacuationRelay
from sardineferry.decision.burst.evacuation.relay import EvacuationsRead
from sardineferry.decision.burst.evacuation.waiting import WaitingJob
from sardineferry.decision.burst.evacuation.waiting import find_jobs_to_refuse

__all__ = [
    "EVACUATED",
    "EvacuationRelay",
    "EvacuationsRead",
    "WaitingJob",
    "find_jobs_to_refuse",
]
