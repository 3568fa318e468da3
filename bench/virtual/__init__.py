"""A simulation that runs the decision code under virtual time with fake I/O."""

from __future__ import annotations

from bench.virtual.history import History
from bench.virtual.simulation import Simulation
from bench.virtual.simulation import SimulationConfig

__all__ = ["History", "Simulation", "SimulationConfig"]
