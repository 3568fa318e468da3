"""Simulated processes: the core of an entry or agent that can be paused or killed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.entry import EntryCore
from sardineferry.decision.entry.core import BUSY_TICK_INTERVAL_MS

if TYPE_CHECKING:
    from sardineferry.decision.agent import AgentCore
    from sardineferry.messages.job import Attempt

__all__ = ["FakeTarget", "Node"]


class FakeTarget:
    """The target of an agent, with faults that are set as attributes.

    While ``down`` is true, connections are refused. While ``failing`` is true,
    each run ends with an error. ``stall_ms`` is added to the time of each run.
    """

    def __init__(self, slowness: float) -> None:
        """Create a target whose runs take ``slowness`` times the expected time."""
        self.slowness = slowness
        self.down = False
        self.failing = False
        self.stall_ms = 0
        self.stopped: set[Attempt] = set()


class Node:
    """A process that runs a core.

    ``incarnation`` counts restarts. ``inbox`` holds the events that arrived
    during a pause, with their senders; ``log_offsets`` the next offset to read
    from each stream of the log. Only agents use ``target``.
    """

    def __init__(self, name: str, core: EntryCore | AgentCore) -> None:
        """Create a running process."""
        self.name = name
        self.core = core
        self.alive = True
        self.paused = False
        self.paused_at_ms = 0.0
        self.incarnation = 0
        self.inbox: list[tuple[object, str]] = []
        self.log_offsets: dict[str, int] = {}
        self.target = FakeTarget(1.0)

    def tick_interval_ms(self) -> int:
        """Return the time until the next tick; entries always use the busy interval."""
        if isinstance(self.core, EntryCore):
            return BUSY_TICK_INTERVAL_MS
        return self.core.tick_interval_ms()

    def incarnation_id(self) -> str:
        """Return an id that changes with each restart."""
        return f"{self.name}#{self.incarnation}"
