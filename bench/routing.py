"""Compares routing rules with the ideal, under virtual time.

The chosen rule is the product's decision code; the baselines are in
``bench.baselines``. Prints response over ideal and messages per task.
"""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

import cyclopts

from bench.arrivals import Arrival
from bench.arrivals import Shape
from bench.arrivals import make_arrivals
from bench.arrivals import spread_slowness
from bench.baselines import BASELINES
from bench.baselines import Responses
from bench.baselines import run_baseline
from bench.baselines import run_ideal
from bench.virtual.simulation import Simulation
from bench.virtual.simulation import SimulationConfig
from sardineferry.decision.agent import AgentPolicy
from sardineferry.decision.entry import EntryPolicy
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task
from sardineferry.messages.target import TargetShape

WORKERS = 6
BUDGET_MS = 120_000
TAIL_MS = 60_000.0
# One start and one answer.
MESSAGES_PER_TASK = 2
UPKEEP = ("Heartbeat", "LeaseEcho", "PeerDigest", "Announce", "Welcome", "PeerHello")


class RigError(Exception):
    """A rule failed, so that the figures mean nothing."""


class Variant(NamedTuple):
    """A setting of the chosen rule."""

    name: str
    queue_units: int = 0
    full_ms: int = 20
    load_half_life_ms: int = 0
    idempotent: bool = True


class Row(NamedTuple):
    """One line of the table: ratios to the ideal, messages per task."""

    rule: str
    p50: float
    p99: float
    job_p50: float
    job_p99: float
    wasted: float
    upkeep: float


TANJUNG = Variant("tanjung setting", 0, full_ms=10, load_half_life_ms=50)
SVIDETEL = Variant("svidetel setting", queue_units=16)
VARIANTS = (
    TANJUNG,
    Variant("queue 0", queue_units=0),
    Variant("default, queue 1", queue_units=1),
    Variant("queue 4", queue_units=4),
    SVIDETEL,
    TANJUNG._replace(name="tanjung setting, claims", idempotent=False),
    SVIDETEL._replace(name="svidetel setting, claims", idempotent=False),
)


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile."""
    return statistics.quantiles(values, n=100)[percent - 1]


def make_job(index: int, arrival: Arrival, idempotent: bool) -> Job:
    """Return the job of an arrival; the payload is the true run time."""
    tasks = tuple(
        Task(f"t{number}", "quote", idempotent, f"{run_ms}")
        for number, run_ms in enumerate(arrival.runs_ms)
    )
    return Job(f"j{index}", "team", BUDGET_MS, tasks, resubmission=False)


def run_variant(shape: Shape, variant: Variant) -> tuple[Responses, Simulation]:
    """Serve the arrivals with the product's decision code."""
    arrivals = make_arrivals(shape)
    policy = EntryPolicy(
        {"team": 1_000_000},
        queue_limit=1_000_000,
        job_limit=1_000_000,
        full_ms=variant.full_ms,
        load_half_life_ms=variant.load_half_life_ms,
        answer_retention_ms=1_000,
    )
    plan = SimulationConfig(
        entries=shape.entries,
        slowness=spread_slowness(shape),
        shape=TargetShape("minion", slots=shape.slots),
        entry_policy=policy,
        agent_policy=AgentPolicy(queue_units=variant.queue_units),
        seed=shape.seed,
        run_ms=lambda task: float(task.payload),
    )
    world = Simulation(plan)
    for index, arrival in enumerate(arrivals):
        job = make_job(index, arrival, variant.idempotent)
        entry = world.entries[arrival.entry]
        world.schedule.after_ms(arrival.at_ms, partial(world.submit, entry, job))
    world.run_until_ms(arrivals[-1].at_ms + TAIL_MS)
    if world.history.failures:
        raise RigError(world.history.failures[0])
    begun = {item.token: item.at_ms for item in world.history.submitted}
    jobs = [item.at_ms - begun[item.token] for item in world.history.answered]
    return (list(world.response_ms_by_task.values()), jobs), world


def compare(rule: str, found: Responses, ideal: Responses) -> Row:
    """Return ratios to the ideal."""
    (tasks, jobs), (ideal_tasks, ideal_jobs) = found, ideal
    return Row(
        rule,
        percentile(tasks, 50) / percentile(ideal_tasks, 50),
        percentile(tasks, 99) / percentile(ideal_tasks, 99),
        percentile(jobs, 50) / percentile(ideal_jobs, 50),
        percentile(jobs, 99) / percentile(ideal_jobs, 99),
        0.0,
        0.0,
    )


def measure_baseline(shape: Shape, rule: str) -> Row:
    """Measure a baseline."""
    arrivals = make_arrivals(shape)
    ideal = run_ideal(shape, arrivals)
    return compare(rule, run_baseline(shape, arrivals, BASELINES[rule]), ideal)


def measure_variant(shape: Shape, variant: Variant) -> Row:
    """Measure a setting of the chosen rule."""
    ideal = run_ideal(shape, make_arrivals(shape))
    found, world = run_variant(shape, variant)
    row = compare(variant.name, found, ideal)
    needed = MESSAGES_PER_TASK * len(world.response_ms_by_task)
    upkeep = sum(world.message_counts[name] for name in UPKEEP)
    total = sum(world.message_counts.values())
    wasted = (total - needed - upkeep) / needed
    return row._replace(wasted=wasted, upkeep=upkeep / needed)


def print_rows(shape: Shape, rows: list[Row]) -> None:
    """Print a table."""
    print(
        f"\n{shape.name}: load {shape.load:.0%}, bursts of {shape.burst}, "
        f"{shape.entries} entries, {shape.targets} x {shape.slots} slots, "
        f"speeds {shape.spread:g}x apart, {shape.tasks} tasks, seed {shape.seed}"
    )
    print("| rule | p50 | p99 | job p50 | job p99 | wasted | upkeep |")
    print("|---|---|---|---|---|---|---|")
    for row in rows:
        ratios = " | ".join(f"{item:.2f}" for item in row[1:5])
        print(f"| {row.rule} | {ratios} | {row.wasted:.1%} | {row.upkeep:.1%} |")


def run(tasks: int = 20_000, seed: int = 1) -> None:
    """Run all rules at all loads.

    Args:
        tasks: Tasks in each cell.
        seed: Seed of the arrivals.

    """
    shapes = [
        Shape(load=load, burst=burst, tasks=tasks, seed=seed)
        for load, burst in ((0.5, 1), (0.8, 1), (0.8, 20), (0.95, 1))
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        planned = [
            (
                shape,
                [pool.submit(measure_baseline, shape, rule) for rule in BASELINES]
                + [pool.submit(measure_variant, shape, item) for item in VARIANTS],
            )
            for shape in shapes
        ]
        for shape, futures in planned:
            print_rows(shape, [future.result() for future in futures])


if __name__ == "__main__":
    cyclopts.run(run)
