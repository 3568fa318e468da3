"""Tests of workers that are slow for some time after their start."""

from __future__ import annotations

import math
import random

import pytest

from sardineferry.decision.burst.cold_workers import COLD_FACTOR
from sardineferry.decision.burst.cold_workers import expected_slowdown
from sardineferry.decision.burst.placement import Candidate
from sardineferry.decision.burst.placement import rank_candidates
from sardineferry.decision.burst.slowdown import LearnedSlowdown
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import WorkerProfile
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import sent

COLD = Candidate("cold", TOTAL, 1.0, True, False, True, is_cold=True)
WARM = Candidate("warm", TOTAL, 2.0, False, False, True)


@pytest.mark.parametrize("scarce", [True, False])
@pytest.mark.parametrize(
    ("warm", "first"),
    [(WARM, "warm"), (WARM._replace(meets_goal=False), "cold")],
    ids=["warm one meets the goal", "warm one is late"],
)
def test_cold_worker_ranks_after_warm_ones_that_meet_the_goal(
    scarce: bool, warm: Candidate, first: str
) -> None:
    """Guards against a data centre that is slow after its revocation but preferred."""
    ranked = rank_candidates([COLD, warm], scarce, random.Random(1))
    assert ranked[0].agent == first


@pytest.mark.parametrize(
    ("elapsed_ms", "runs", "factor"),
    [(0, 0, COLD_FACTOR), (0, 3, math.sqrt(COLD_FACTOR)), (900, 0, 1.0)],
    ids=["unknown", "some runs", "warm again"],
)
def test_cold_worker_counts_as_slower_until_runs_show_it(
    elapsed_ms: int, runs: int, factor: float
) -> None:
    """Guards against tight goals on a worker of which nothing is known yet."""
    entry = EntryDriver("a")
    entry.handle(WorkerProfile("desk", TOTAL, ("a",), 1, False, 900), "a")
    slowdowns = entry.state.worker_slowdowns
    slowdowns.update("a", "a", LearnedSlowdown(0.0, runs))
    entry.now_ms += elapsed_ms
    slowdown = expected_slowdown(slowdowns, entry.state.agents["a"], entry.now_ms)
    assert slowdown == pytest.approx(factor)


def test_agent_learns_the_slowdown_of_a_cold_worker_apart() -> None:
    """Guards against averages of cold runs that outlast the cold time."""
    agent = AgentDriver()
    agent.state.slowdown_estimator.add_run(2.0)
    effects = agent.handle(agent.report(2)._replace(cold_left_ms=700))
    assert [item.cold_left_ms for item in sent(effects, WorkerProfile)] == [700]
    assert agent.state.slowdown_estimator.learned() == LearnedSlowdown()
    agent.now_ms += 800
    effects = agent.handle(agent.report(3))
    assert [item.cold_left_ms for item in sent(effects, WorkerProfile)] == [0]
    assert agent.state.slowdown_estimator.learned().runs == 1


def test_restarted_agent_learns_from_an_entry_that_its_worker_is_cold() -> None:
    """Guards against a worker that counts as warm until its next report."""
    agent = AgentDriver()
    agent.state.total = None
    profile = WorkerProfile("desk", TOTAL, ("a",), 1, False, 600)
    effects = agent.handle(EntryWelcome("e", "1", "dc", profile, ()))
    assert [item.cold_left_ms for item in sent(effects, WorkerProfile)] == [600]
