"""Simulates loads beyond capacity of routes that have different priorities.

``python -m bench.virtual.overload_load --help`` shows how to run the loads by hand.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts

from bench.virtual.burst_load import DEFAULT_HETEROGENEITY
from bench.virtual.burst_load import Burst
from bench.virtual.burst_load import BurstSimulation
from bench.virtual.burst_load import DeploymentSize
from bench.virtual.burst_load import JobKind
from bench.virtual.burst_load import run_simulation
from sardineferry.decision.burst.requests import ReplyKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench.virtual.burst_load import Request

__all__ = [
    "BURST_MS",
    "BURST_START_MS",
    "METER_KINDS",
    "METER_SIZE",
    "OVERLOADS",
    "RouteResult",
    "run_overload",
]

# The jobs of the meter head-end deployment, see docs/design/load-and-limits.md.
METER_KINDS = (
    JobKind("ping", 8, 120, 103.0, 0),
    JobKind("read", 2, 400, 301.0, 1),
    JobKind("disconnect", 4, 1_800, 18.8, 2),
)
METER_SIZE = DeploymentSize(
    data_centres=3, entries=4, workers=12, task_cpu=5_000, job_kinds=METER_KINDS
)
BURST_START_MS = 2_000
BURST_MS = 3_000
OVERLOADS: dict[str, tuple[Burst, ...]] = {
    "none": (),
    "pings 1.8": (Burst(BURST_START_MS, BURST_MS, 1.8, "ping"),),
    "pings 2.6": (Burst(BURST_START_MS, BURST_MS, 2.6, "ping"),),
    "reads 2.3": (Burst(BURST_START_MS, BURST_MS, 2.3, "read"),),
    "disconnects 2.3": (Burst(BURST_START_MS, BURST_MS, 2.3, "disconnect"),),
    "all 1.7": (Burst(BURST_START_MS, BURST_MS, 1.7),),
}
# A refusal after a longer wait than this share of the bound is a held refusal.
HELD_SHARE = 0.25
AT_ONCE_MS = 5
LATE_WORTH = 0.2
MAX_LATE_GOALS = 3


class RouteResult(NamedTuple):
    """How the jobs of a route were served that were submitted during the burst.

    All figures are shares of the route's jobs. ``worth`` counts a late answer as a
    fifth. ``at_once`` jobs were refused on arrival, and ``held`` jobs after a quarter
    of their bound. ``largest_worth`` is the worth of the tenth of the jobs with the
    most work.
    """

    jobs: int
    in_time: float
    late: float
    refused: float
    at_once: float
    held: float
    worth: float
    largest_worth: float


def evaluate_route(
    simulation: BurstSimulation, submitted: dict[int, Request]
) -> RouteResult:
    """Return how these jobs of one route were served."""
    worths: list[tuple[float, float]] = []
    late = refused = at_once = held = 0
    for token, request in submitted.items():
        kind, answered_ms = simulation.replies.get(token, (ReplyKind.NO_ANSWER, 1e18))
        took_ms = answered_ms - request.at_ms
        worth = 0.0
        if kind is not ReplyKind.COMPLETED:
            refused += 1
            at_once += took_ms < AT_ONCE_MS
            held += took_ms > HELD_SHARE * request.goal_ms
        elif took_ms <= request.goal_ms:
            worth = 1.0
        else:
            late += 1
            worth = LATE_WORTH if took_ms <= MAX_LATE_GOALS * request.goal_ms else 0.0
        worths.append((sum(request.work_ms) * request.cpu, worth))
    worths.sort(reverse=True)
    count = len(worths)
    largest = worths[: max(1, count // 10)]
    return RouteResult(
        count,
        round(sum(worth == 1.0 for _, worth in worths) / count, 3),
        round(late / count, 3),
        round(refused / count, 3),
        round(at_once / count, 3),
        round(held / count, 3),
        round(statistics.mean(worth for _, worth in worths), 3),
        round(statistics.mean(worth for _, worth in largest), 3),
    )


def run_overload(
    bursts: Iterable[Burst], size: DeploymentSize = METER_SIZE, seed: int = 1
) -> dict[str, RouteResult]:
    """Simulate a load; return the results of the time of the burst by route."""
    simulation = BurstSimulation(size, DEFAULT_HETEROGENEITY, seed)
    run_simulation(
        simulation, tuple(bursts), (), BURST_START_MS + BURST_MS + BURST_START_MS
    )
    first_ms = min(request.at_ms for request in simulation.requests.values())
    from_ms = first_ms + BURST_START_MS
    during = {
        token: request
        for token, request in simulation.requests.items()
        if from_ms <= request.at_ms < from_ms + BURST_MS
    }
    return {
        kind.name: evaluate_route(
            simulation,
            {
                token: request
                for token, request in during.items()
                if request.kind == kind.name
            },
        )
        for kind in size.job_kinds
    }


app = cyclopts.App(name="bench.virtual.overload_load")


@app.default
def main(*, seeds: int = 3, use: float = 0.9, priorities: bool = True) -> None:
    """Simulate each load.

    Args:
        seeds: The number of seeds that each load is simulated with.
        use: The share of the workers' capacity that is used without a burst.
        priorities: Whether the routes have different priorities.

    """
    kinds = tuple(
        kind if priorities else kind._replace(priority=0) for kind in METER_KINDS
    )
    size = METER_SIZE._replace(utilization=use, job_kinds=kinds)
    for name, bursts in OVERLOADS.items():
        results = [run_overload(bursts, size, seed) for seed in range(1, seeds + 1)]
        for kind in kinds:
            rows = [result[kind.name] for result in results]
            means = [statistics.mean(column) for column in zip(*rows, strict=True)]
            values = RouteResult(int(means[0]), *(round(x, 3) for x in means[1:]))
            print(f"{name:16s} {kind.name:11s} {values}")


if __name__ == "__main__":
    app()
