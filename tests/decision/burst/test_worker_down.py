"""Tests how often an agent asks a worker that is down for its state."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.messages.burst import EntryBeat
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import sent

DOWN_MS = 2_000
STEP_MS = 10


def count_holds_while_down(agent: AgentDriver, down_ms: int) -> int:
    """Return how many holds are sent; each is refused at once."""
    agent.effects.clear()
    for _ in range(down_ms // STEP_MS):
        if agent.state.hold_pending:
            agent.hold(answered=False)
        agent.tick(STEP_MS)
        agent.handle(EntryBeat(agent.now_ms, (1,)))
    return len(sent(agent.effects, HoldWorker))


@pytest.fixture
def agent() -> AgentDriver:
    """Return an agent whose worker was reported as another incarnation, then failed."""
    agent = AgentDriver()
    agent.link()
    agent.handle(agent.report(1, born_ms=2))
    return agent


def test_worker_that_stays_down_is_asked_less_and_less_often(
    agent: AgentDriver,
) -> None:
    """Guards against a connection every 20 ms to each worker that is down."""
    assert count_holds_while_down(agent, DOWN_MS) <= 3 + DOWN_MS // 160


@pytest.mark.parametrize("reports", [False, True])
def test_worker_that_is_back_is_asked_soon(agent: AgentDriver, reports: bool) -> None:
    """Guards against a worker that stays unused long after it is up again."""
    count_holds_while_down(agent, DOWN_MS)
    if agent.state.hold_pending:
        agent.hold(answered=False)
    agent.effects.clear()
    if reports:
        agent.handle(agent.report(2, born_ms=2))
        agent.tick(0)
    else:
        agent.tick(160)
    assert sent(agent.effects, HoldWorker)


def test_worker_with_runs_is_asked_as_often_as_before() -> None:
    """Guards against leases that lapse because a few holds were lost."""
    agent = AgentDriver()
    agent.link()
    agent.order(ref())
    agent.answer(ref())
    assert count_holds_while_down(agent, 400) >= 400 // 30
