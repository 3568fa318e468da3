"""Shows behaviour beyond capacity, under virtual time.

A burst at three times the capacity, then normal load: how soon responses are
normal again, and what became of each request. Then two teams of which one
floods, and targets that fail or stall.
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
SLOTS = 8
RUN_MS = 200.0
BUDGET_MS = 2_000
WARM_MS = 3_000.0
STEP_MS = 500.0


class Phase(NamedTuple):
    """A load, as a share of capacity, for a time in milliseconds."""

    load: float
    lasting_ms: float


def make_world(quotas: tuple[tuple[str, int], ...], seed: int) -> Simulation:
    """Return entries and targets of one speed."""
    policy = EntryPolicy(dict(quotas), queue_limit=2_000)
    plan = SimulationConfig(
        entries=3,
        slowness=(1.0,) * TARGETS,
        shape=TargetShape("minion", slots=SLOTS),
        entry_policy=policy,
        seed=seed,
        run_ms=lambda task: float(task.payload),
    )
    return Simulation(plan)


def add_load(world: Simulation, team: str, phases: list[Phase], seed: int) -> float:
    """Submit Poisson single-task jobs; return when the load ends."""
    source = random.Random(seed)
    capacity_per_ms = TARGETS * SLOTS / RUN_MS
    at_ms = WARM_MS
    number = 0
    for phase in phases:
        end_ms = at_ms + phase.lasting_ms
        while phase.load:
            at_ms += source.expovariate(capacity_per_ms * phase.load)
            if at_ms >= end_ms:
                break
            number += 1
            run_ms = source.expovariate(1 / RUN_MS)
            idempotent = number % 4 != 0
            task = Task("t", f"{team}-{idempotent}", idempotent, f"{run_ms}")
            job = Job(f"{team}-{number}", team, BUDGET_MS, (task,), resubmission=False)
            entry = world.entries[number % 3]
            world.schedule.after_ms(at_ms, partial(world.submit, entry, job))
        at_ms = end_ms
    return at_ms


class Outcome(NamedTuple):
    """One request: when it came, how long it took, how it ended."""

    at_ms: float
    took_ms: float
    state: str
    team: str


def outcomes(world: Simulation) -> list[Outcome]:
    """Pair answers with requests."""
    requests = {item.token: item for item in world.history.submitted}
    return [
        Outcome(
            requests[item.token].at_ms,
            item.at_ms - requests[item.token].at_ms,
            item.answer.state,
            requests[item.token].job.team,
        )
        for item in world.history.answered
    ]


def median_between(rows: list[Outcome], begin_ms: float, end_ms: float) -> float:
    """Return the median time of complete requests that came in a window."""
    took = [
        row.took_ms
        for row in rows
        if begin_ms <= row.at_ms < end_ms and row.state == "complete"
    ]
    return statistics.median(took) if took else float("inf")


def burst(seed: int) -> None:
    """Print recovery from a burst at three times the capacity."""
    world = make_world((("team", 10_000),), seed)
    phases = [Phase(0.7, 8_000), Phase(3.0, 5_000), Phase(0.7, 20_000)]
    end_ms = add_load(world, "team", phases, seed)
    world.run_until_ms(end_ms + 10_000)
    rows = outcomes(world)
    normal_ms = median_between(rows, WARM_MS + 2_000, WARM_MS + 8_000)
    over_ms = WARM_MS + 13_000
    back_ms = over_ms
    while median_between(rows, back_ms, back_ms + STEP_MS) > 1.2 * normal_ms:
        back_ms += STEP_MS
    during = Counter(
        row.state for row in rows if over_ms - 5_000 <= row.at_ms < over_ms
    )
    starts = Counter((item.submission, item.task) for item in world.history.started)
    print(
        f"burst of 3x for 5 s, seed {seed}: median {normal_ms:.0f} ms before, within "
        f"1.2 of it {back_ms - over_ms:.0f} ms after; during: {dict(during)}; "
        f"repeated starts {sum(starts.values()) - len(starts)}; "
        f"violations {len(find_violations(world.history))}"
    )


def flood(seed: int) -> None:
    """Print what a team's flood does to another team."""
    for flooding in (False, True):
        world = make_world((("calm", 48), ("loud", 40)), seed)
        end_ms = add_load(world, "calm", [Phase(0.3, 15_000)], seed)
        if flooding:
            add_load(world, "loud", [Phase(0, 3_000), Phase(2.0, 8_000)], seed + 1)
        world.run_until_ms(end_ms + 10_000)
        rows = [row for row in outcomes(world) if row.team == "calm"]
        complete = [row.took_ms for row in rows if row.state == "complete"]
        cuts = statistics.quantiles(complete, n=100)
        print(
            f"calm team at 30%, loud team {'at 200%' if flooding else 'silent'}: "
            f"p50 {cuts[49]:.0f} ms, p99 {cuts[98]:.0f} ms, "
            f"{len(complete) / len(rows):.1%} complete"
        )


def busiest(world: Simulation) -> Node:
    """Return the agent that runs the most, so that a fault there matters."""
    agents = [world.nodes[name] for name in world.agents]
    return max(agents, key=lambda node: len(in_flight_at(world, node.name)))


def in_flight_at(world: Simulation, agent: str) -> list[str]:
    """Return the tasks that all entries have in flight at an agent."""
    return [
        key[1]
        for entry in world.entries
        for key in world.entry_state(entry).agents[agent].in_flight
    ]


def bad_target(seed: int, fault: str) -> None:
    """Print what one bad target of six does to all requests."""
    world = make_world((("team", 10_000),), seed)
    end_ms = add_load(world, "team", [Phase(0.6, 15_000)], seed)

    def strike() -> None:
        target = busiest(world).target
        target.failing = fault == "failing"
        target.down = fault == "down"
        target.stall_ms = 1_500 if fault == "stalling" else 0

    world.schedule.after_ms(WARM_MS + 3_000, strike)
    world.run_until_ms(end_ms + 10_000)
    rows = outcomes(world)
    took = [row.took_ms for row in rows if row.state == "complete"]
    cuts = statistics.quantiles(took, n=100)
    kinds = Counter(row.state for row in rows)
    print(
        f"one target of {TARGETS} {fault}: p50 {cuts[49]:.0f} ms, "
        f"p99 {cuts[98]:.0f} ms, "
        f"{dict(kinds)}, violations {len(find_violations(world.history))}"
    )


def breakers(seed: int) -> None:
    """Compare breakers on a failing target, and on a kind that fails."""
    never = 10**9
    for name, trip, works in (
        ("no breaker", never, MIN_KIND_SUCCESS_RATE),
        ("breaker, any cause", FAILURES_TO_OPEN, -1.0),
        ("breaker, kind works elsewhere", FAILURES_TO_OPEN, MIN_KIND_SUCCESS_RATE),
    ):
        with (
            mock.patch.object(circuit_breaker, "FAILURES_TO_OPEN", trip),
            mock.patch.object(results, "MIN_KIND_SUCCESS_RATE", works),
        ):
            target = count_failing_target(seed)
            poison = count_poison(seed)
        print(f"{name}: failing target {target}; poison kind {poison}")


def count_failing_target(seed: int) -> str:
    """Return what one failing target of six costs."""
    world = make_world((("team", 10_000),), seed)
    end_ms = add_load(world, "team", [Phase(0.8, 15_000)], seed)

    def strike() -> None:
        busiest(world).target.failing = True

    world.schedule.after_ms(WARM_MS + 1_000, strike)
    world.run_until_ms(end_ms + 10_000)
    rows = outcomes(world)
    lost = sum(row.state != "complete" for row in rows)
    wasted = len(world.history.started) - len(rows)
    return f"{lost} of {len(rows)} not complete, {wasted} repeated starts"


def count_poison(seed: int) -> str:
    """Return what tasks that fail everywhere do to the others."""
    world = make_world((("good", 10_000), ("bad", 10_000)), seed)
    end_ms = add_load(world, "good", [Phase(0.5, 15_000)], seed)
    add_load(world, "bad", [Phase(0.2, 15_000)], seed + 1)
    finish = world.finish

    def finish_or_fail(node: Node, run: int, attempt: Attempt, took_ms: float) -> None:
        node.target.failing = attempt.submission.startswith("bad")
        finish(node, run, attempt, took_ms)
        node.target.failing = False

    with mock.patch.object(world, "finish", finish_or_fail):
        world.run_until_ms(end_ms + 10_000)
    good = [row for row in outcomes(world) if row.team == "good"]
    lost = sum(row.state != "complete" for row in good)
    cuts = statistics.quantiles([row.took_ms for row in good], n=100)
    return f"{lost} of {len(good)} good not complete, p99 {cuts[98]:.0f} ms"


def main(seed: int = 1) -> None:
    """Run all.

    Args:
        seed: Seed of arrivals and run times.

    """
    for offset in range(3):
        burst(seed + offset)
    flood(seed)
    for fault in ("healthy", "failing", "down", "stalling"):
        bad_target(seed, fault)
    breakers(seed)


if __name__ == "__main__":
    cyclopts.run(main)
