"""Decides which workers suit the tasks of a job."""

from __future__ import annotations

from sardineferry.decision.burst.worker_choice.lateness import LIKELY_LATE
from sardineferry.decision.burst.worker_choice.lateness import JobTimes
from sardineferry.decision.burst.worker_choice.lateness import expected_wait_ms
from sardineferry.decision.burst.worker_choice.lateness import lateness_class
from sardineferry.decision.burst.worker_choice.lateness import max_wait_ms
from sardineferry.decision.burst.worker_choice.lateness import slowdown_limits

__all__ = [
    "LIKELY_LATE",
    "JobTimes",
    "expected_wait_ms",
    "lateness_class",
    "max_wait_ms",
    "slowdown_limits",
]
