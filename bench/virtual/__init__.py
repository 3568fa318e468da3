"""Drives the decision code under virtual time, with fakes at its interfaces."""

from __future__ import annotations

from bench.virtual.history import History
from bench.virtual.world import World
from bench.virtual.world import WorldPlan

__all__ = ["History", "World", "WorldPlan"]
