"""Simulates overload and bad targets in virtual time, and prints the effects.

A burst at three times the capacity, followed by normal load: how soon response
times are normal again, and how requests ended. Then two teams of which one
exceeds the capacity, targets that fail or stall, and circuit breakers.
"""

from __future__ import annotations

import random
import statistics
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple
from unittest import mock

import cyclopts

from bench.virtual.invariants import find_violations
from bench.virtual.simulation import Simulation
from bench.virtual.simulation import SimulationConfig
from sardineferry.decision import circuit_breaker
from sardineferry.decision.circuit_breaker import FAILURES_TO_OPEN
from sardineferry.decision.entry import EntryPolicy
from sardineferry.decision.entry import results
from sardineferry.decision.entry.results import MIN_KIND_SUCCESS_RATE
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task
from sardineferry.messages.target import TargetShape

if TYPE_CHECKING:
    from bench.virtual.nodes import Node
    from sardineferry.messages.job import Attempt

TARGETS = 6
SLOTS_PER_TARGET = 8
MEAN_RUN_MS = 200.0
JOB_BUDGET_MS = 2_000
WARM_UP_MS = 3_000.0
RECOVERY_WINDOW_MS = 500.0


class LoadPhase(NamedTuple):
    """A load, as a share of the capacity, and its duration."""

    load: float
    duration_ms: float


def make_simulation(quotas: tuple[tuple[str, int], ...], seed: int) -> Simulation:
    """Return a simulation of 3 entries, and of targets of the same speed."""
    policy = EntryPolicy(dict(quotas), queue_limit=2_000)
    config = SimulationConfig(
        entries=3,
        slowness=(1.0,) * TARGETS,
        shape=TargetShape("minion", slots=SLOTS_PER_TARGET),
        entry_policy=policy,
        seed=seed,
        run_ms=lambda task: float(task.payload),
    )
    return Simulation(config)


def schedule_load(
    simulation: Simulation, team: str, phases: list[LoadPhase], seed: int
) -> float:
    """Schedule Poisson arrivals of single-task jobs, a quarter of them not idempotent.

    Return the time at which the load ends.
    """
    rng = random.Random(seed)
    capacity_per_ms = TARGETS * SLOTS_PER_TARGET / MEAN_RUN_MS
    at_ms = WARM_UP_MS
    job_number = 0
    for phase in phases:
        end_ms = at_ms + phase.duration_ms
        while phase.load:
            at_ms += rng.expovariate(capacity_per_ms * phase.load)
            if at_ms >= end_ms:
                break
            job_number += 1
            run_ms = rng.expovariate(1 / MEAN_RUN_MS)
            idempotent = job_number % 4 != 0
            task = Task("t", f"{team}-{idempotent}", idempotent, f"{run_ms}")
            job = Job(
                f"{team}-{job_number}", team, JOB_BUDGET_MS, (task,), resubmission=False
            )
            entry = simulation.entries[job_number % 3]
            simulation.schedule.after_ms(at_ms, partial(simulation.submit, entry, job))
        at_ms = end_ms
    return at_ms


class Outcome(NamedTuple):
    """A request: its arrival time, response time, final state and team."""

    at_ms: float
    response_ms: float
    state: str
    team: str


def collect_outcomes(simulation: Simulation) -> list[Outcome]:
    """Return the outcomes of all requests that were answered."""
    requests = {item.token: item for item in simulation.history.submitted}
    return [
        Outcome(
            requests[item.token].at_ms,
            item.at_ms - requests[item.token].at_ms,
            item.answer.state,
            requests[item.token].job.team,
        )
        for item in simulation.history.answered
    ]


def median_response_ms(rows: list[Outcome], start_ms: float, end_ms: float) -> float:
    """Return the median response time of the complete requests of a time window.

    A request belongs to the window in which it arrived.
    """
    response_times_ms = [
        row.response_ms
        for row in rows
        if start_ms <= row.at_ms < end_ms and row.state == "complete"
    ]
    return statistics.median(response_times_ms) if response_times_ms else float("inf")


def print_burst_recovery(seed: int) -> None:
    """Print how the system recovers from a burst at three times the capacity."""
    simulation = make_simulation((("team", 10_000),), seed)
    phases = [LoadPhase(0.7, 8_000), LoadPhase(3.0, 5_000), LoadPhase(0.7, 20_000)]
    end_ms = schedule_load(simulation, "team", phases, seed)
    simulation.run_until_ms(end_ms + 10_000)
    rows = collect_outcomes(simulation)
    normal_ms = median_response_ms(rows, WARM_UP_MS + 2_000, WARM_UP_MS + 8_000)
    burst_end_ms = WARM_UP_MS + 13_000
    window_start_ms = burst_end_ms
    while (
        median_response_ms(rows, window_start_ms, window_start_ms + RECOVERY_WINDOW_MS)
        > 1.2 * normal_ms
    ):
        window_start_ms += RECOVERY_WINDOW_MS
    during = Counter(
        row.state for row in rows if burst_end_ms - 5_000 <= row.at_ms < burst_end_ms
    )
    starts = Counter(
        (item.submission, item.task) for item in simulation.history.started
    )
    print(
        f"burst of 3x for 5 s, seed {seed}: median {normal_ms:.0f} ms before, within "
        f"1.2 of it {window_start_ms - burst_end_ms:.0f} ms after; "
        f"during: {dict(during)}; "
        f"repeated starts {sum(starts.values()) - len(starts)}; "
        f"violations {len(find_violations(simulation.history))}"
    )


def print_flood_effect(seed: int) -> None:
    """Print how a team's load above capacity affects another team."""
    for flooding in (False, True):
        simulation = make_simulation((("calm", 48), ("loud", 40)), seed)
        end_ms = schedule_load(simulation, "calm", [LoadPhase(0.3, 15_000)], seed)
        if flooding:
            schedule_load(
                simulation,
                "loud",
                [LoadPhase(0, 3_000), LoadPhase(2.0, 8_000)],
                seed + 1,
            )
        simulation.run_until_ms(end_ms + 10_000)
        rows = [row for row in collect_outcomes(simulation) if row.team == "calm"]
        response_times_ms = [row.response_ms for row in rows if row.state == "complete"]
        percentiles_ms = statistics.quantiles(response_times_ms, n=100)
        print(
            f"calm team at 30%, loud team {'at 200%' if flooding else 'silent'}: "
            f"p50 {percentiles_ms[49]:.0f} ms, p99 {percentiles_ms[98]:.0f} ms, "
            f"{len(response_times_ms) / len(rows):.1%} complete"
        )


def busiest_agent(simulation: Simulation) -> Node:
    """Return the agent with the most tasks in flight, where a fault matters most."""
    agents = [simulation.nodes[name] for name in simulation.agents]
    return max(agents, key=lambda node: len(tasks_in_flight(simulation, node.name)))


def tasks_in_flight(simulation: Simulation, agent: str) -> list[str]:
    """Return the tasks that entries have in flight at an agent."""
    return [
        key[1]
        for entry in simulation.entries
        for key in simulation.entry_state(entry).agents[agent].in_flight
    ]


def print_bad_target_effect(seed: int, fault: str) -> None:
    """Print how a fault of the busiest target affects all requests."""
    simulation = make_simulation((("team", 10_000),), seed)
    end_ms = schedule_load(simulation, "team", [LoadPhase(0.6, 15_000)], seed)

    def inject_fault() -> None:
        target = busiest_agent(simulation).target
        target.failing = fault == "failing"
        target.down = fault == "down"
        target.stall_ms = 1_500 if fault == "stalling" else 0

    simulation.schedule.after_ms(WARM_UP_MS + 3_000, inject_fault)
    simulation.run_until_ms(end_ms + 10_000)
    rows = collect_outcomes(simulation)
    response_times_ms = [row.response_ms for row in rows if row.state == "complete"]
    percentiles_ms = statistics.quantiles(response_times_ms, n=100)
    states = Counter(row.state for row in rows)
    print(
        f"one target of {TARGETS} {fault}: p50 {percentiles_ms[49]:.0f} ms, "
        f"p99 {percentiles_ms[98]:.0f} ms, "
        f"{dict(states)}, violations {len(find_violations(simulation.history))}"
    )


def compare_breakers(seed: int) -> None:
    """Compare settings of circuit breakers for a failing target and a failing kind."""
    never_open = 10**9
    # A minimum success rate below 0 lets failures of every kind open a breaker.
    for name, failures_to_open, min_success_rate in (
        ("no breaker", never_open, MIN_KIND_SUCCESS_RATE),
        ("breaker, any cause", FAILURES_TO_OPEN, -1.0),
        ("breaker, kind works elsewhere", FAILURES_TO_OPEN, MIN_KIND_SUCCESS_RATE),
    ):
        with (
            mock.patch.object(circuit_breaker, "FAILURES_TO_OPEN", failures_to_open),
            mock.patch.object(results, "MIN_KIND_SUCCESS_RATE", min_success_rate),
        ):
            target_text = simulate_failing_target(seed)
            kind_text = simulate_failing_kind(seed)
        print(f"{name}: failing target {target_text}; poison kind {kind_text}")


def simulate_failing_target(seed: int) -> str:
    """Return how many requests a failing target costs."""
    simulation = make_simulation((("team", 10_000),), seed)
    end_ms = schedule_load(simulation, "team", [LoadPhase(0.8, 15_000)], seed)

    def inject_fault() -> None:
        busiest_agent(simulation).target.failing = True

    simulation.schedule.after_ms(WARM_UP_MS + 1_000, inject_fault)
    simulation.run_until_ms(end_ms + 10_000)
    rows = collect_outcomes(simulation)
    incomplete = sum(row.state != "complete" for row in rows)
    repeated_starts = len(simulation.history.started) - len(rows)
    return (
        f"{incomplete} of {len(rows)} not complete, {repeated_starts} repeated starts"
    )


def simulate_failing_kind(seed: int) -> str:
    """Return how tasks of a kind that fails on every target affect the others."""
    simulation = make_simulation((("good", 10_000), ("bad", 10_000)), seed)
    end_ms = schedule_load(simulation, "good", [LoadPhase(0.5, 15_000)], seed)
    schedule_load(simulation, "bad", [LoadPhase(0.2, 15_000)], seed + 1)
    finish_task = simulation.finish

    def finish_or_fail_task(
        node: Node, run: int, attempt: Attempt, took_ms: float
    ) -> None:
        node.target.failing = attempt.submission.startswith("bad")
        finish_task(node, run, attempt, took_ms)
        node.target.failing = False

    with mock.patch.object(simulation, "finish", finish_or_fail_task):
        simulation.run_until_ms(end_ms + 10_000)
    good_requests = [row for row in collect_outcomes(simulation) if row.team == "good"]
    incomplete = sum(row.state != "complete" for row in good_requests)
    percentiles_ms = statistics.quantiles(
        [row.response_ms for row in good_requests], n=100
    )
    return (
        f"{incomplete} of {len(good_requests)} good not complete, "
        f"p99 {percentiles_ms[98]:.0f} ms"
    )


def main(seed: int = 1) -> None:
    """Run and print all simulations.

    Args:
        seed: Seed of arrivals and run times.

    """
    for offset in range(3):
        print_burst_recovery(seed + offset)
    print_flood_effect(seed)
    for fault in ("healthy", "failing", "down", "stalling"):
        print_bad_target_effect(seed, fault)
    compare_breakers(seed)


if __name__ == "__main__":
    cyclopts.run(main)
