"""Faults of a simulated deployment for burst jobs: resets, pauses and kills.

Each fault has a time that counts from the start of the load. Delays are drawn from
zero up to a maximum, for each link or caller separately.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from bench.virtual.burst_load import MAX_REDIAL_DELAY_MS
from bench.virtual.burst_load import LinkBreak

if TYPE_CHECKING:
    from bench.virtual.burst_load import BurstSimulation
    from bench.virtual.burst_load import Node

__all__ = ["CallerReset", "Kill", "LinkReset", "Pause"]

# The ends of a reset connection usually learn of it within this time.
USUAL_DELAY_MS = 2.0


class LinkReset(NamedTuple):
    """A share of the links breaks; if a process is named, only of its links.

    With different delays, a link is half open for a while.
    """

    start_ms: int
    node: str = ""
    share: float = 1.0
    max_agent_delay_ms: float = USUAL_DELAY_MS
    max_entry_delay_ms: float = USUAL_DELAY_MS
    max_redial_delay_ms: float = MAX_REDIAL_DELAY_MS

    def apply(self, simulation: BurstSimulation) -> None:
        """Break the links."""
        rng = simulation.fault_random
        for agent_name, address in list(simulation.links):
            is_chosen = self.node in ("", agent_name, address)
            if not is_chosen or rng.random() >= self.share:
                continue
            how = LinkBreak(
                rng.uniform(0, self.max_agent_delay_ms),
                rng.uniform(0, self.max_entry_delay_ms),
                rng.uniform(0, self.max_redial_delay_ms),
            )
            agent = simulation.agents[agent_name]
            simulation.break_link(agent, simulation.entries[address], how)


class CallerReset(NamedTuple):
    """A share of the callers' connections breaks; if an entry is named, only of its.

    A caller learns of it at once, its entry later.
    """

    start_ms: int
    entry: str = ""
    share: float = 1.0
    max_entry_delay_ms: float = USUAL_DELAY_MS

    def apply(self, simulation: BurstSimulation) -> None:
        """Break the connections."""
        rng = simulation.fault_random
        for token, caller in list(simulation.callers.items()):
            is_chosen = self.entry in ("", caller.entry.name)
            if is_chosen and rng.random() < self.share:
                entry_delay_ms = rng.uniform(0, self.max_entry_delay_ms)
                simulation.break_caller(token, entry_delay_ms)


class Pause(NamedTuple):
    """A process handles nothing for a while, or a share of all if none is named.

    If ``in_pass`` is true, it pauses after the tick of a pass, before its events.
    """

    start_ms: int
    duration_ms: int
    node: str = ""
    share: float = 1.0
    in_pass: bool = False

    def apply(self, simulation: BurstSimulation) -> None:
        """Pause the processes."""
        nodes: list[Node] = [
            *simulation.entries.values(),
            *simulation.agents.values(),
        ]
        for node in nodes:
            is_chosen = self.node in ("", node.name)
            if is_chosen and simulation.fault_random.random() < self.share:
                fields: dict[str, object] = {
                    "ms": self.duration_ms,
                    "in_pass": self.in_pass,
                }
                simulation.record_decision(node, "paused", fields)
                node.pause(self.duration_ms, self.in_pass)


class Kill(NamedTuple):
    """A process is killed; it starts again after a delay, or never if that is None.

    The other ends of its connections learn of it within ``max_delay_ms``.
    """

    start_ms: int
    node: str
    restart_delay_ms: int | None = None
    max_delay_ms: float = USUAL_DELAY_MS

    def apply(self, simulation: BurstSimulation) -> None:
        """Kill the process and break its connections."""
        node: Node
        if self.node in simulation.entries:
            node = entry = simulation.entries[self.node]
            restart = partial(entry.restart, entry.incarnation + 1)
        else:
            node = agent = simulation.agents[self.node]
            restart = partial(agent.restart, agent.incarnation + 1)
        simulation.record_decision(node, "killed", {})
        node.kill()
        LinkReset(
            0,
            self.node,
            max_agent_delay_ms=self.max_delay_ms,
            max_entry_delay_ms=self.max_delay_ms,
        ).apply(simulation)
        if self.node in simulation.entries:
            CallerReset(0, self.node).apply(simulation)
        if self.restart_delay_ms is not None:
            simulation.clock.run_after(self.restart_delay_ms, restart)
