"""Simulates the platform's log, targets and workers, for tests and demos."""

from __future__ import annotations

from sardineferry.standin.log import LogStandin
from sardineferry.standin.target import TargetStandin
from sardineferry.standin.worker import WorkerStandin

__all__ = ["LogStandin", "TargetStandin", "WorkerStandin"]
