"""Entries and agents as the fakes run them: cores with pause and kill."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.entry import EntryCore
from sardineferry.decision.entry.core import BUSY_TICK_MS

if TYPE_CHECKING:
    from sardineferry.decision.agent import AgentCore
    from sardineferry.messages.job import Attempt

__all__ = ["Node", "TargetFake"]


class TargetFake:
    """The behaviour of an agent's target; faults are plain attributes.

    ``down`` refuses connections, ``failing`` answers errors and ``stall_ms``
    is added to each run.
    """

    def __init__(self, slowness: float) -> None:
        """Run tasks ``slowness`` times as long as declared."""
        self.slowness = slowness
        self.down = False
        self.failing = False
        self.stall_ms = 0
        self.stopped: set[Attempt] = set()


class Node:
    """One process: a core that may be dead or paused."""

    def __init__(self, name: str, core: EntryCore | AgentCore) -> None:
        """Start alive."""
        self.name = name
        self.core = core
        self.alive = True
        self.paused = False
        self.paused_at_ms = 0.0
        self.run = 0
        self.inbox: list[tuple[object, str]] = []
        self.positions: dict[str, int] = {}
        self.target = TargetFake(1.0)

    def tick_ms(self) -> int:
        """Return the interval of ticks; entries are never idle for long."""
        if isinstance(self.core, EntryCore):
            return BUSY_TICK_MS
        return self.core.tick_interval_ms()

    def identity(self) -> str:
        """Name this incarnation."""
        return f"{self.name}#{self.run}"
