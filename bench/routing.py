"""Compares the product's routing and simple rules with an ideal, in virtual time.

The product's rule is its decision code; the simple rules are in
``bench.baselines``. Prints response times as ratios to the ideal, and the
messages beyond one start and one answer per task.
"""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

import cyclopts

from bench.arrivals import Arrival
from bench.arrivals import Scenario
from bench.arrivals import make_arrivals
from bench.arrivals import target_slowness
from bench.baselines import BASELINES
from bench.baselines import Responses
from bench.baselines import simulate_baseline
from bench.baselines import simulate_ideal
from bench.virtual.simulation import Simulation
from bench.virtual.simulation import SimulationConfig
from sardineferry.decision.agent import AgentPolicy
from sardineferry.decision.entry import EntryPolicy
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task
from sardineferry.messages.target import TargetShape

WORKER_PROCESSES = 6
JOB_BUDGET_MS = 120_000
# How long the simulation goes on after the last arrival.
DRAIN_MS = 60_000.0
# A start and its answer.
MESSAGES_PER_TASK = 2
# Kinds of messages whose number does not depend on load.
UPKEEP_MESSAGES = (
    "Heartbeat",
    "LeaseEcho",
    "PeerDigest",
    "Announce",
    "Welcome",
    "PeerHello",
)


class SimulationError(Exception):
    """The decision code raised an exception, so the figures are invalid."""


class Variant(NamedTuple):
    """Settings of the product's routing to be compared.

    With ``idempotent`` false every task needs a claim before it starts.
    """

    name: str
    queue_units: int = 0
    full_ms: int = 20
    load_half_life_ms: int = 0
    idempotent: bool = True


class Row(NamedTuple):
    """A table row: response times over the ideal, and extra messages.

    ``wasted`` and ``upkeep`` are numbers of messages over those needed.
    """

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


def make_job(job_index: int, arrival: Arrival, idempotent: bool) -> Job:
    """Return the job of an arrival; each payload is the task's run time in ms."""
    tasks = tuple(
        Task(f"t{task_index}", "quote", idempotent, f"{run_ms}")
        for task_index, run_ms in enumerate(arrival.run_times_ms)
    )
    return Job(f"j{job_index}", "team", JOB_BUDGET_MS, tasks, resubmission=False)


def simulate_variant(
    scenario: Scenario, variant: Variant
) -> tuple[Responses, Simulation]:
    """Simulate the product's routing, and return response times and the simulation."""
    arrivals = make_arrivals(scenario)
    policy = EntryPolicy(
        {"team": 1_000_000},
        queue_limit=1_000_000,
        job_limit=1_000_000,
        full_ms=variant.full_ms,
        load_half_life_ms=variant.load_half_life_ms,
        answer_retention_ms=1_000,
    )
    config = SimulationConfig(
        entries=scenario.entries,
        slowness=target_slowness(scenario),
        shape=TargetShape("minion", slots=scenario.slots),
        entry_policy=policy,
        agent_policy=AgentPolicy(queue_units=variant.queue_units),
        seed=scenario.seed,
        run_ms=lambda task: float(task.payload),
    )
    simulation = Simulation(config)
    for index, arrival in enumerate(arrivals):
        job = make_job(index, arrival, variant.idempotent)
        entry = simulation.entries[arrival.entry]
        simulation.schedule.after_ms(
            arrival.at_ms, partial(simulation.submit, entry, job)
        )
    simulation.run_until_ms(arrivals[-1].at_ms + DRAIN_MS)
    if simulation.history.failures:
        raise SimulationError(simulation.history.failures[0])
    submitted_at_ms = {item.token: item.at_ms for item in simulation.history.submitted}
    job_times_ms = [
        item.at_ms - submitted_at_ms[item.token] for item in simulation.history.answered
    ]
    return (list(simulation.response_ms_by_task.values()), job_times_ms), simulation


def compare_with_ideal(rule: str, measured: Responses, ideal: Responses) -> Row:
    """Return the ratios to the ideal, without messages."""
    (task_times_ms, job_times_ms), (ideal_task_times_ms, ideal_job_times_ms) = (
        measured,
        ideal,
    )
    return Row(
        rule,
        percentile(task_times_ms, 50) / percentile(ideal_task_times_ms, 50),
        percentile(task_times_ms, 99) / percentile(ideal_task_times_ms, 99),
        percentile(job_times_ms, 50) / percentile(ideal_job_times_ms, 50),
        percentile(job_times_ms, 99) / percentile(ideal_job_times_ms, 99),
        0.0,
        0.0,
    )


def measure_baseline(scenario: Scenario, rule: str) -> Row:
    """Compare a baseline with the ideal."""
    arrivals = make_arrivals(scenario)
    ideal = simulate_ideal(scenario, arrivals)
    return compare_with_ideal(
        rule, simulate_baseline(scenario, arrivals, BASELINES[rule]), ideal
    )


def measure_variant(scenario: Scenario, variant: Variant) -> Row:
    """Compare a variant of the product's routing with the ideal."""
    ideal = simulate_ideal(scenario, make_arrivals(scenario))
    responses, simulation = simulate_variant(scenario, variant)
    row = compare_with_ideal(variant.name, responses, ideal)
    needed_messages = MESSAGES_PER_TASK * len(simulation.response_ms_by_task)
    upkeep_messages = sum(simulation.message_counts[name] for name in UPKEEP_MESSAGES)
    all_messages = sum(simulation.message_counts.values())
    wasted = (all_messages - needed_messages - upkeep_messages) / needed_messages
    return row._replace(wasted=wasted, upkeep=upkeep_messages / needed_messages)


def print_rows(scenario: Scenario, rows: list[Row]) -> None:
    """Print the table of a scenario."""
    print(
        f"\n{scenario.name}: load {scenario.load:.0%}, "
        f"bursts of {scenario.tasks_per_job}, "
        f"{scenario.entries} entries, {scenario.targets} x {scenario.slots} slots, "
        f"speeds {scenario.speed_ratio:g}x apart, {scenario.tasks} tasks, "
        f"seed {scenario.seed}"
    )
    print("| rule | p50 | p99 | job p50 | job p99 | wasted | upkeep |")
    print("|---|---|---|---|---|---|---|")
    for row in rows:
        ratios = " | ".join(f"{item:.2f}" for item in row[1:5])
        print(f"| {row.rule} | {ratios} | {row.wasted:.1%} | {row.upkeep:.1%} |")


def run(tasks: int = 20_000, seed: int = 1) -> None:
    """Compare all rules at several loads.

    Args:
        tasks: Number of tasks per run.
        seed: Seed of arrivals and run times.

    """
    scenarios = [
        Scenario(load=load, tasks_per_job=tasks_per_job, tasks=tasks, seed=seed)
        for load, tasks_per_job in ((0.5, 1), (0.8, 1), (0.8, 20), (0.95, 1))
    ]
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        pending_tables = [
            (
                scenario,
                [pool.submit(measure_baseline, scenario, rule) for rule in BASELINES]
                + [pool.submit(measure_variant, scenario, item) for item in VARIANTS],
            )
            for scenario in scenarios
        ]
        for scenario, futures in pending_tables:
            print_rows(scenario, [future.result() for future in futures])


if __name__ == "__main__":
    cyclopts.run(run)
