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
from bench.virtual.burst_load import PassPause
from bench.virtual.burst_load import PausePoint

if TYPE_CHECKING:
    import random

    from bench.virtual.burst_load import BurstSimulation
    from bench.virtual.burst_load import Node

__all__ = [
    "CallerReset",
    "Cancellations",
    "Kill",
    "LateCopies",
    "LinkReset",
    "Pause",
    "PauseInPass",
    "StrayReport",
    "WorkerCrash",
]

# The ends of a reset connection usually learn of it within this time.
USUAL_DELAY_MS = 2.0
# The platform says that a copy arrives seconds after the answer.
COPY_DELAY_MS = (1_000.0, 4_000.0)
CANCEL_DELAY_MS = (20.0, 1_500.0)


class LateCopies(NamedTuple):
    """From now on copies of answered requests arrive, at any entry.

    ``copied`` is the share of the requests with a copy, and ``lost`` that of the
    answers that are lost, so that the caller submits its job again.
    """

    start_ms: int
    copied: float = 0.5
    lost: float = 0.2

    def apply(self, simulation: BurstSimulation) -> None:
        """Let the simulation ask for each answer."""
        simulation.copy_policy = self

    def loses_answer(self, rng: random.Random) -> bool:
        """Return whether the answer is lost with its connection."""
        return rng.random() < self.lost

    def draw_copy_delay_ms(self, rng: random.Random) -> float | None:
        """Return when after the answer a copy arrives, or None if none does."""
        return rng.uniform(*COPY_DELAY_MS) if rng.random() < self.copied else None


class Cancellations(NamedTuple):
    """From now on callers cancel a share of their jobs, at any entry."""

    start_ms: int
    share: float = 0.3

    def apply(self, simulation: BurstSimulation) -> None:
        """Let the simulation ask for each job."""
        simulation.cancel_policy = self

    def draw_cancel_delay_ms(self, rng: random.Random) -> float | None:
        """Return when after its submission a job is cancelled, or None if it isn't."""
        return rng.uniform(*CANCEL_DELAY_MS) if rng.random() < self.share else None


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


class PauseInPass(NamedTuple):
    """A process pauses within its next pass that reads an event."""

    start_ms: int
    duration_ms: int
    node: str
    point: PausePoint

    def apply(self, simulation: BurstSimulation) -> None:
        """Let the next pass pause."""
        node: Node | None = simulation.entries.get(self.node)
        node = node or simulation.agents[self.node]
        if not node.is_paused() and not node.is_killed:
            node.next_pause = PassPause(self.point, self.duration_ms)


class WorkerCrash(NamedTuple):
    """A worker crashes and starts again under its id.

    Its first report reaches its agent ``report_delay_ms`` after it is up again.
    """

    start_ms: int
    agent: str
    down_ms: int
    report_delay_ms: int

    def apply(self, simulation: BurstSimulation) -> None:
        """Crash the worker, unless it is down."""
        agent = simulation.agents[self.agent]
        if not agent.is_worker_up:
            return
        simulation.record_decision(agent, "worker crashed", {})
        agent.crash_worker()
        clock = simulation.clock
        clock.run_after(self.down_ms, agent.restart_worker)
        clock.run_after(self.down_ms + self.report_delay_ms, agent.report_worker)


class StrayReport(NamedTuple):
    """An agent reads a report of an incarnation that is not its worker.

    ``born_ms_later`` is by how much later than its worker that one was started.
    """

    start_ms: int
    agent: str
    worker_id: str
    born_ms_later: int

    def apply(self, simulation: BurstSimulation) -> None:
        """Let the agent read the report."""
        agent = simulation.agents[self.agent]
        born_ms = agent.worker_born_ms + self.born_ms_later
        report = agent.make_report(self.worker_id, born_ms)
        agent.handle(report, "", "worker")
