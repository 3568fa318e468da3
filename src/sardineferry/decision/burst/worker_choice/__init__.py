"""Decides which workers suit the tasks of a job."""

from __future__ import annotations

from sardineferry.decision.burst.worker_choice.data_rack import DEFAULT_REMOTE_FACTOR
from sardineferry.decision.burst.worker_choice.data_rack import data_factor
from sardineferry.decision.burst.worker_choice.data_rack import is_in_rack
from sardineferry.decision.burst.worker_choice.data_rack import slowdowns_with_data
from sardineferry.decision.burst.worker_choice.lateness import JobTimes
from sardineferry.decision.burst.worker_choice.lateness import expected_wait_ms
from sardineferry.decision.burst.worker_choice.lateness import max_slowdown
from sardineferry.decision.burst.worker_choice.lateness import max_wait_ms
from sardineferry.decision.burst.worker_choice.trust import WorkerTrust

__all__ = [
    "DEFAULT_REMOTE_FACTOR",
    "JobTimes",
    "WorkerTrust",
    "data_factor",
    "expected_wait_ms",
    "is_in_rack",
    "max_slowdown",
    "max_wait_ms",
    "slowdowns_with_data",
]
