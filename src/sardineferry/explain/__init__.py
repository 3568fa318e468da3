"""Explains from structured logs what happened to jobs.

Why they were late, refused or unanswered, and which runs of one task overlapped.
"""

from __future__ import annotations

from sardineferry.explain.causes import Cause
from sardineferry.explain.causes import find_cause
from sardineferry.explain.evidence import AgentNote
from sardineferry.explain.evidence import FoundOrder
from sardineferry.explain.evidence import OverlapEvidence
from sardineferry.explain.overlaps import ComparedRun
from sardineferry.explain.overlaps import Overlap
from sardineferry.explain.report import Report
from sardineferry.explain.report import explain_logs
from sardineferry.explain.report import name_logs

__all__ = [
    "AgentNote",
    "Cause",
    "ComparedRun",
    "FoundOrder",
    "Overlap",
    "OverlapEvidence",
    "Report",
    "explain_logs",
    "find_cause",
    "name_logs",
]
