"""Which burst jobs are delayed or refused when capacity is short."""

from __future__ import annotations

from sardineferry.decision.burst.overload.arrivals import ArrivalRates
from sardineferry.decision.burst.overload.counters import refusal_counter
from sardineferry.decision.burst.overload.order import WaitingJob
from sardineferry.decision.burst.overload.order import WithheldAgents
from sardineferry.decision.burst.overload.order import find_prioritised_services
from sardineferry.decision.burst.overload.order import is_served_before
from sardineferry.decision.burst.overload.order import service_order
from sardineferry.decision.burst.overload.retry_after import jittered_retry_after_ms
from sardineferry.decision.burst.overload.shedding import ForecastTerms
from sardineferry.decision.burst.overload.shedding import find_jobs_to_give_up
from sardineferry.decision.burst.overload.shedding import max_decision_wait_ms

__all__ = [
    "ArrivalRates",
    "ForecastTerms",
    "WaitingJob",
    "WithheldAgents",
    "find_jobs_to_give_up",
    "find_prioritised_services",
    "is_served_before",
    "jittered_retry_after_ms",
    "max_decision_wait_ms",
    "refusal_counter",
    "service_order",
]
