"""Explains from structured logs why jobs were late, refused or unanswered."""

from __future__ import annotations

from sardineferry.explain.causes import Cause
from sardineferry.explain.causes import find_cause
from sardineferry.explain.report import Report
from sardineferry.explain.report import explain_logs

__all__ = ["Cause", "Report", "explain_logs", "find_cause"]
