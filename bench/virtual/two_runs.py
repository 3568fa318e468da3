"""Looks for two runs of a task at once, and runs of cancelled jobs, in virtual time.

Each seed draws its own faults, of the kinds of a mix. ``python -m
bench.virtual.two_runs --help`` shows how to run it by hand.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts

from bench.virtual.burst_faults import CallerReset
from bench.virtual.burst_faults import Cancellations
from bench.virtual.burst_faults import Kill
from bench.virtual.burst_faults import LateCopies
from bench.virtual.burst_faults import LinkReset
from bench.virtual.burst_faults import PauseInPass
from bench.virtual.burst_faults import StrayReport
from bench.virtual.burst_faults import WorkerCrash
from bench.virtual.burst_load import DEFAULT_HETEROGENEITY
from bench.virtual.burst_load import SLOWEST_WORKERS
from bench.virtual.burst_load import BurstSimulation
from bench.virtual.burst_load import DeploymentSize
from bench.virtual.burst_load import PastRun
from bench.virtual.burst_load import PausePoint
from bench.virtual.burst_load import find_overlapping_runs
from bench.virtual.burst_load import find_unasked_runs
from bench.virtual.burst_load import run_simulation

if TYPE_CHECKING:
    from bench.virtual.burst_load import Fault

__all__ = [
    "ALL_LINKED",
    "CANCEL_LIMIT_MS",
    "MIXES",
    "SEVERAL_PER_DATA_CENTRE",
    "Overlap",
    "find_overlaps",
    "simulate",
]

SIZE = DeploymentSize(entries=4, workers=12, utilization=0.4)
# One entry in each data centre, so that each agent is linked to all entries.
ALL_LINKED = SIZE._replace(entries=3)
# Each agent is linked to one of the entries of each other data centre.
SEVERAL_PER_DATA_CENTRE = SIZE._replace(entries=7)
LOAD_MS = 8_000
FIRST_FAULT_MS = 500
# Mean time between two faults of a kind.
FAULT_INTERVAL_MS = 500
PAUSE_MS = (200, 1_600)
CRASH_DOWN_MS = (1, 150)
REPORT_DELAY_MS = (50, 1_000)
ENTRY_RESTART_MS = (300, 2_500)
AGENT_RESTART_MS = (100, 1_500)

# Set by the platform: how long after an acknowledged cancellation a task may run.
CANCEL_LIMIT_MS = 3_000 + 50

# The kinds of faults that are drawn together.
MIXES: dict[str, tuple[str, ...]] = {
    "pauses": ("pause",),
    "pauses, callers return": ("pause with callers",),
    "agents killed": ("kill",),
    "workers crash": ("crash",),
    "stray reports": ("stray",),
    "pauses, agents killed": ("pause with callers and kill",),
    "workers crash, agents killed": ("crash", "kill"),
    "late copies": ("copies",),
    "late copies, entries killed": ("copies", "kill entry"),
    "late copies, links reset": ("copies", "links"),
    "late copies, callers return": ("copies", "return"),
    "late copies, cancelled": ("copies", "cancels"),
    "late copies, cancelled, links reset": ("copies", "cancels", "links"),
    "all but stray reports": (
        "pause with callers",
        "pause with callers and kill",
        "crash",
        "kill",
        "links",
    ),
    "late copies, all": (
        "copies",
        "pause with callers",
        "pause with callers and kill",
        "crash",
        "kill",
        "kill entry",
        "links",
    ),
}

STOPS = {
    (False, False): "no stop",
    (True, False): "first stopped",
    (False, True): "second stopped",
    (True, True): "both stopped",
}


class Overlap(NamedTuple):
    """Two runs of a task at once, and what led to the second one."""

    first: PastRun
    second: PastRun
    # The entries that ordered them, and how the first one ended for its entry or agent.
    first_entry: str
    second_entry: str
    reason: str
    # Whether their agents asked for the stops of the first and the second one.
    first_stopped: bool
    second_stopped: bool


class Drawer:
    """Draws the faults of a seed."""

    def __init__(self, simulation: BurstSimulation, seed: int) -> None:
        """Use the processes of a simulation."""
        self.rng = random.Random(f"two runs {seed}")
        self.entries = sorted(simulation.entries)
        self.agents = sorted(simulation.agents)

    def draw(self, kinds: tuple[str, ...]) -> tuple[Fault, ...]:
        """Draw all faults of these kinds, in random order of time."""
        faults: list[Fault] = []
        for kind in kinds:
            if kind == "copies":
                faults.append(LateCopies(0))
                continue
            if kind == "cancels":
                faults.append(Cancellations(0))
                continue
            at_ms = float(FIRST_FAULT_MS)
            while at_ms < LOAD_MS:
                faults += self.draw_one(kind, int(at_ms))
                at_ms += self.rng.expovariate(1 / FAULT_INTERVAL_MS)
        return tuple(faults)

    def draw_one(self, kind: str, at_ms: int) -> list[Fault]:
        """Draw what happens at a time."""
        rng = self.rng
        agent = rng.choice(self.agents)
        match kind:
            case "crash":
                down_ms = rng.randint(*CRASH_DOWN_MS)
                return [
                    WorkerCrash(at_ms, agent, down_ms, rng.randint(*REPORT_DELAY_MS))
                ]
            case "kill":
                return [Kill(at_ms, agent, rng.randint(*AGENT_RESTART_MS))]
            case "kill entry":
                entry = rng.choice(self.entries)
                return [Kill(at_ms, entry, rng.randint(*ENTRY_RESTART_MS))]
            case "return":
                entry = rng.choice(self.entries)
                return [CallerReset(at_ms, entry, 0.5, max_entry_delay_ms=2_000)]
            case "links":
                return [LinkReset(at_ms, share=0.3, max_entry_delay_ms=50)]
            case "stray":
                worker_id = rng.choice(("w", "w2"))
                return [StrayReport(at_ms, agent, worker_id, rng.randint(1, 1_000))]
        entry = rng.choice(self.entries)
        node = entry if rng.random() < 0.7 or "callers" in kind else agent
        point = rng.choice(list(PausePoint))
        pause_ms = rng.randint(*PAUSE_MS)
        faults: list[Fault] = [PauseInPass(at_ms, pause_ms, node, point)]
        if "callers" in kind:
            # Early in the pause, so that some callers are back before it is over.
            left_ms = at_ms + rng.randint(0, 100)
            faults.append(CallerReset(left_ms, entry, share=0.7))
        if "kill" in kind:
            killed_ms = at_ms + rng.randint(0, pause_ms)
            faults.append(Kill(killed_ms, agent, rng.randint(*AGENT_RESTART_MS)))
        return faults


def simulate(mix: str, seed: int, size: DeploymentSize) -> BurstSimulation:
    """Simulate the faults of a mix and a seed."""
    simulation = BurstSimulation(size, DEFAULT_HETEROGENEITY, seed, SLOWEST_WORKERS)
    simulation.history = []
    faults = Drawer(simulation, seed).draw(MIXES[mix])
    run_simulation(simulation, (), (), LOAD_MS, faults)
    return simulation


def find_overlaps(mix: str, seed: int, size: DeploymentSize = SIZE) -> list[Overlap]:
    """Simulate the faults of a mix and a seed; return the overlapping runs."""
    return explain_overlaps(simulate(mix, seed, size))


def explain_overlaps(simulation: BurstSimulation) -> list[Overlap]:
    """Return the overlapping runs of a simulation."""
    return [
        explain_overlap(simulation, first, second)
        for first, second in find_overlapping_runs(simulation)
    ]


def explain_overlap(
    simulation: BurstSimulation, first: PastRun, second: PastRun
) -> Overlap:
    """Find the orders of both runs, and what happened to the first one in between."""
    first_entry = second_entry = reason = ""
    stopped: set[PastRun] = set()
    for at_ms, node, event, fields in simulation.history or ():
        if event in ("run stopping", "stopping an unknown run"):
            named = (fields["task"], fields["attempt"])
            stopped |= {
                past_run
                for past_run in (first, second)
                if (past_run.agent, past_run.run) == (node, named)
            }
        if at_ms > second.start_ms:
            continue
        if event == "runs ordered":
            first_entry = node if is_order_of(fields, first) else first_entry
            second_entry = node if is_order_of(fields, second) else second_entry
        elif event in ("run ended", "run refused") and at_ms >= first.start_ms:
            if fields["task"] == first.run.task:
                reason = f"{event}: {fields.get('how', '')} {fields['reason']}"
        elif event.startswith("agent lost") and fields["agent"] == first.agent:
            reason = event if node == first_entry else reason
    return Overlap(
        first,
        second,
        first_entry,
        second_entry,
        reason,
        first in stopped,
        second in stopped,
    )


def is_order_of(fields: dict[str, object], past_run: PastRun) -> bool:
    """Return whether the fields of a line about an order include a run."""
    job_id, _, _, index = past_run.run.task.split(".")
    tasks, attempts = fields["tasks"], fields["attempts"]
    assert isinstance(tasks, list)
    assert isinstance(attempts, list)
    return (
        fields["job"] == job_id
        and fields["agent"] == past_run.agent
        and (int(index), past_run.run.attempt) in zip(tasks, attempts, strict=True)
    )


app = cyclopts.App(name="bench.virtual.two_runs")


@app.default
def main(
    *, mix: str = "", first: int = 1, seeds: int = 50, show: int = 3, entries: int = 4
) -> None:
    """Simulate seeds of each mix, or of one.

    Args:
        mix: The name of a mix; all if it is empty.
        first: The first seed.
        seeds: The number of seeds.
        show: The number of overlaps that are shown of each mix.
        entries: The number of entries, in three data centres.

    """
    for name in [mix] if mix else MIXES:
        overlaps_by_seed: dict[int, list[Overlap]] = {}
        unasked_by_seed: dict[int, int] = {}
        for seed in range(first, first + seeds):
            simulation = simulate(name, seed, SIZE._replace(entries=entries))
            if found := explain_overlaps(simulation):
                overlaps_by_seed[seed] = found
            if unasked := len(find_unasked_runs(simulation, CANCEL_LIMIT_MS)):
                unasked_by_seed[seed] = unasked
        overlaps = [item for found in overlaps_by_seed.values() for item in found]
        print(
            f"{name}: {len(overlaps)} overlaps on {len(overlaps_by_seed)} of {seeds} "
            f"seeds {list(overlaps_by_seed)}"
        )
        if unasked_by_seed:
            print(f"  runs of cancelled jobs by seed: {unasked_by_seed}")
        looks = Counter(
            (
                f"attempts {item.first.run.attempt}, {item.second.run.attempt}",
                "one entry" if item.first_entry == item.second_entry else "two entries",
                item.reason,
                STOPS[item.first_stopped, item.second_stopped],
            )
            for item in overlaps
        )
        for look, count in looks.most_common(12):
            print(f"  {count} {look}")
        for item in overlaps[:show]:
            print(
                f"    {item.first.run} {item.first_entry} -> {item.first.agent} "
                f"{item.first.start_ms:.0f}-{item.first.end_ms:.0f}; "
                f"{item.second_entry} -> {item.second.agent} attempt "
                f"{item.second.run.attempt} at {item.second.start_ms:.0f}"
            )


if __name__ == "__main__":
    app()
