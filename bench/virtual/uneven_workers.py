"""Simulates loads on workers of different speeds, to compare variants of placement.

The loads are those of docs/design/load-and-limits.md at a smaller size: waves of
traffic in each data centre, out of phase, callers that are distributed unevenly over
its entries, start requests without an answer, bursts and workers that become slow.
``python -m bench.virtual.uneven_workers --help`` shows how to run them by hand.
"""

from __future__ import annotations

import math
import statistics
import time
from collections import defaultdict
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts
import msgspec

from bench.virtual.burst_faults import WorkerCrash
from bench.virtual.burst_load import Burst
from bench.virtual.burst_load import BurstSimulation
from bench.virtual.burst_load import DeploymentSize
from bench.virtual.burst_load import Fault
from bench.virtual.burst_load import Heterogeneity
from bench.virtual.burst_load import JobKind
from bench.virtual.burst_load import run_simulation
from sardineferry.messages.burst import StartRuns

if TYPE_CHECKING:
    from bench.virtual.burst_load import AgentNode
    from bench.virtual.burst_load import EntryNode
    from bench.virtual.burst_load import LoadResult
    from bench.virtual.burst_load import Node

__all__ = ["LOADS", "UnevenLoad", "UnevenSimulation", "WorkerSlow", "simulate"]

LOAD_MS = 8_000
UNANSWERED_SHARE = 0.03
# Weights of the entries of a data centre, in turn.
ENTRY_WEIGHTS = (1.0, 0.6, 1.4)


class WorkerSlow(NamedTuple):
    """Makes workers slower by a factor for some time."""

    start_ms: int
    duration_ms: int
    agents: tuple[str, ...]
    factor: float

    def apply(self, simulation: BurstSimulation) -> None:
        """Change the speed of the workers, and change it back later."""
        for name in self.agents:
            agent = simulation.agents[name]
            simulation.clock.run_after(
                self.duration_ms, partial(restore, agent, agent.speed)
            )
            agent.speed /= self.factor


def restore(agent: AgentNode, speed: float) -> None:
    """Give a worker its speed back."""
    agent.speed = speed


class Wave(NamedTuple):
    """A wave of the traffic of each data centre, out of phase."""

    share: float
    period_ms: int


class UnevenLoad(NamedTuple):
    """A load and the deployment that it is for."""

    size: DeploymentSize
    heterogeneity: Heterogeneity
    wave: Wave
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()


class UnevenSimulation(BurstSimulation):
    """A simulation with uneven traffic that counts runs in other data centres."""

    def __init__(self, load: UnevenLoad, seed: int) -> None:
        """Create the deployment of a load."""
        super().__init__(load.size, load.heterogeneity, seed)
        self.wave = load.wave
        self.unanswered_share = UNANSWERED_SHARE
        self.runs_ordered = 0
        self.remote_runs_ordered = 0

    def choose_entry(self) -> EntryNode:
        """Choose an entry by the wave of its data centre and its own weight."""
        entries = list(self.entries.values())
        centres = self.size.data_centres
        weights = [
            ENTRY_WEIGHTS[number // centres % len(ENTRY_WEIGHTS)]
            * (1 + self.wave.share * math.sin(self.wave_phase(number % centres)))
            for number in range(len(entries))
        ]
        return self.random.choices(entries, weights)[0]

    def wave_phase(self, centre: int) -> float:
        """Return the phase of the wave of a data centre."""
        turns = self.clock.now_ms / self.wave.period_ms
        return 2 * math.pi * (turns + centre / self.size.data_centres)

    def deliver(
        self, sender_node: Node, receiver: Node, message: object, sender: str
    ) -> None:
        """Deliver a message, and count the runs that it orders."""
        if isinstance(message, StartRuns):
            entry, agent = self.entries[sender], self.agents[receiver.name]
            self.runs_ordered += len(message.runs)
            if entry.endpoint.data_centre != agent.data_centre:
                self.remote_runs_ordered += len(message.runs)
        super().deliver(sender_node, receiver, message, sender)


METER_KINDS = (
    JobKind("pings", 8, 120, 103.0),
    JobKind("reads", 2, 400, 301.0),
    JobKind("disconnects", 4, 1_800, 18.8),
)
MAPS_KINDS = (
    JobKind("overlays", 8, 102, 90.7),
    JobKind("status", 2, 340, 264.0),
    JobKind("renders", 4, 1_520, 16.5),
)
METER = UnevenLoad(
    DeploymentSize(3, 8, 18, 0.62, 5_000, METER_KINDS),
    Heterogeneity(),
    Wave(0.15, 11_000),
)
MAPS = UnevenLoad(
    DeploymentSize(3, 8, 18, 0.5, 2_400, MAPS_KINDS),
    Heterogeneity(speed_factors=(0.8, 1.0, 1.25), cpu=32_000),
    Wave(0.55, 13_000),
)
METER_DATA = METER._replace(
    heterogeneity=METER.heterogeneity._replace(data_share=0.3, remote_factor=3.0)
)
MAPS_DATA = MAPS._replace(
    heterogeneity=MAPS.heterogeneity._replace(data_share=0.3, remote_factor=2.0)
)
SLOW = (WorkerSlow(2_000, 4_000, ("a2", "a7"), 6.0),)
# Workers that go down and up every second.
FLAPPING = tuple(
    WorkerCrash(start_ms, agent, 1_000, 50)
    for start_ms in range(1_000, 8_000, 2_000)
    for agent in ("a2", "a7")
)
LOADS: dict[str, UnevenLoad] = {
    "meter calm": METER,
    "meter disconnects 2.3": METER._replace(
        bursts=(Burst(2_000, 2_000, 2.3, "disconnects"),)
    ),
    "meter pings 2.6": METER._replace(bursts=(Burst(2_000, 2_000, 2.6, "pings"),)),
    "meter all 1.5": METER._replace(bursts=(Burst(2_000, 2_000, 1.5),)),
    "meter all 2": METER._replace(bursts=(Burst(2_000, 2_000, 2.0),)),
    "meter slow workers": METER._replace(faults=SLOW),
    "meter flapping": METER._replace(faults=FLAPPING),
    "maps flapping": MAPS._replace(faults=FLAPPING),
    "meter data": METER_DATA,
    "maps data": MAPS_DATA,
    "maps calm": MAPS,
    "maps all 2.2": MAPS._replace(bursts=(Burst(2_000, 2_000, 2.2),)),
    "maps slow workers": MAPS._replace(faults=SLOW),
}


def simulate(load: UnevenLoad, seed: int) -> tuple[LoadResult, float]:
    """Simulate a load; return its result and the share of runs in other data centres.

    The warm-up has no faults, so workers have their own speeds in it.
    """
    simulation = UnevenSimulation(load, seed)
    result = run_simulation(simulation, load.bursts, (), LOAD_MS, load.faults)
    return result, simulation.remote_runs_ordered / max(1, simulation.runs_ordered)


app = cyclopts.App(name="bench.virtual.uneven_workers")


@app.default
def main(*names: str, seeds: int = 4, output: Path | None = None) -> None:
    """Simulate loads, and print the shares in time, late and refused by route.

    Args:
        names: The names of the loads, by default all.
        seeds: The number of seeds that each load is simulated with.
        output: Write the worth of each load, by seed, to this file as JSON, for
            ``bench.virtual.paired_difference``.

    """
    worth_by_load: dict[str, list[float]] = {}
    for name in names or LOADS:
        shares: dict[tuple[str, str], list[float]] = defaultdict(list)
        remote = []
        worth_by_load[name] = []
        started_s = time.process_time()
        for seed in range(1, seeds + 1):
            result, remote_share = simulate(LOADS[name], seed)
            worth_by_load[name].append(result.worth)
            remote.append(remote_share)
            for status in ("in_time", "late", "refused"):
                for kind, share in getattr(result, status).items():
                    shares[kind, status].append(share)
        routes = " ".join(
            f"{kind.name} "
            + "/".join(
                f"{statistics.mean(shares[kind.name, status]):.3f}"
                for status in ("in_time", "late", "refused")
            )
            for kind in LOADS[name].size.job_kinds
        )
        print(
            f"{name:22s} worth {statistics.mean(worth_by_load[name]):.4f} {routes} "
            f"remote {statistics.mean(remote):.2f} "
            f"processor {time.process_time() - started_s:.1f} s",
            flush=True,
        )
    if output is not None:
        output.write_bytes(msgspec.json.encode(worth_by_load))


if __name__ == "__main__":
    app()
