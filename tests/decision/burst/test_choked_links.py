"""Replays links that delay messages, as a choked network does."""

from __future__ import annotations

import pytest
from bench.virtual.burst_load import DEFAULT_HETEROGENEITY
from bench.virtual.burst_load import BurstSimulation
from bench.virtual.burst_load import Choke
from bench.virtual.burst_load import DeploymentSize
from bench.virtual.burst_load import find_simultaneous_runs
from bench.virtual.burst_load import run_simulation

# Few jobs, so that agents are often idle and send few timestamps.
IDLE = DeploymentSize(utilization=0.15)
BUSY = DeploymentSize(utilization=0.7)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("size", [IDLE, BUSY], ids=["idle", "busy"])
@pytest.mark.parametrize(
    ("to_entries_ms", "from_entries_ms"),
    [(300, 300), (900, 0), (1_300, 0), (1_450, 0), (0, 1_450), (1_450, 1_450)],
)
def test_choked_links_never_cause_two_runs_of_a_task(
    to_entries_ms: int, from_entries_ms: int, size: DeploymentSize, seed: int
) -> None:
    simulation = BurstSimulation(size, DEFAULT_HETEROGENEITY, seed)
    chokes = tuple(
        Choke(at_ms, 1_500, to_entries_ms, from_entries_ms) for at_ms in (1_000, 4_000)
    )
    run_simulation(simulation, (), chokes, load_duration_ms=7_000)
    assert find_simultaneous_runs(simulation) == []


def test_service_recovers_from_a_choke_within_seconds() -> None:
    simulation = BurstSimulation(BUSY, DEFAULT_HETEROGENEITY, 1)
    run_simulation(simulation, (), (Choke(1_000, 2_000, 2_000, 2_000),), 10_000)
    later = [
        token
        for token, request in simulation.requests.items()
        if request.at_ms > min(r.at_ms for r in simulation.requests.values()) + 7_000
    ]
    in_time = sum(
        simulation.replies[token][1] - simulation.requests[token].at_ms
        <= simulation.requests[token].goal_ms
        for token in later
        if token in simulation.replies
    )
    assert in_time >= 0.95 * len(later)
