"""Stand-ins for the platform's log and for targets, for tests and demos."""

from __future__ import annotations

from sardineferry.standin.log import LogStandin
from sardineferry.standin.target import TargetStandin

__all__ = ["LogStandin", "TargetStandin"]
