"""Tests that an agent extends no lease for a run that may not go on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import ListedEnd
from sardineferry.decision.burst.worker import ListedRun
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopAnswered
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.events import LinkDown
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import StopRuns
from sardineferry.messages.burst import WorkerRoom
from tests.decision.burst.drive import LINK
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import sent

if TYPE_CHECKING:
    from collections.abc import Callable

RUN = ref()
OTHER_LINK = "10.0.0.2:7000"
OTHER_RUN = ref(job_number=2)


def order_of_other_entry(agent: AgentDriver) -> StartRuns:
    expires_ms = agent.now_ms + timing.ORDER_TTL_MS
    return StartRuns(1, expires_ms, (OTHER_RUN,), "spec", NEED, 100, True)


@pytest.fixture
def agent() -> AgentDriver:
    """Return an agent that runs ``RUN`` for one entry and is linked to another."""
    agent = AgentDriver()
    agent.link(OTHER_LINK, entry="e2")
    agent.order(RUN)
    agent.answer(RUN)
    return agent


def lose_entry(agent: AgentDriver) -> None:
    agent.handle(LinkDown(LINK))
    agent.tick(timing.SILENCE_LIMIT_MS + 1)


def ask_to_stop(agent: AgentDriver) -> None:
    agent.handle(StopRuns((RUN,)))


def omit_from_beat(agent: AgentDriver) -> None:
    agent.handle(EntryBeat(agent.now_ms, ()))


@pytest.mark.parametrize("begin_stop", [lose_entry, ask_to_stop, omit_from_beat])
def test_run_that_can_not_be_stopped_gets_no_lease(
    agent: AgentDriver, begin_stop: Callable[[AgentDriver], None]
) -> None:
    begin_stop(agent)
    assert [stop.run for stop in sent(agent.effects, StopRun)] == [RUN]
    agent.handle(order_of_other_entry(agent), OTHER_LINK)
    agent.answer(OTHER_RUN)
    agent.effects.clear()
    present = (ListedRun(RUN, 99), ListedRun(OTHER_RUN, 99))
    for _ in range(20):
        agent.tick(20)
        agent.handle(EntryBeat(agent.now_ms, (1,)), OTHER_LINK)
        agent.handle(StopAnswered(RUN, False, False, agent.now_ms))
        agent.hold(present=present)
    holds = sent(agent.effects, HoldWorker)
    assert len(holds) == 20
    assert {hold.lease_until_ms for hold in holds} == {0}
    agent.handle(StopAnswered(RUN, True, False, agent.now_ms))
    agent.hold(present=present[1:], ends=(ListedEnd(1, RUN, "lost"),))
    last_hold = sent(agent.effects, HoldWorker)[-1]
    assert last_hold.lease_until_ms == agent.now_ms + timing.LEASE_MS


def test_start_extends_no_lease_of_a_run_that_can_not_be_stopped(
    agent: AgentDriver,
) -> None:
    lease_until_ms = sent(agent.effects, StartRun)[-1].lease_until_ms
    ask_to_stop(agent)
    agent.now_ms += 100
    agent.handle(order_of_other_entry(agent), OTHER_LINK)
    start = sent(agent.effects, StartRun)[-1]
    assert (start.run, start.lease_until_ms) == (OTHER_RUN, lease_until_ms)


def test_worker_that_fails_to_stop_a_run_gets_no_more_runs(agent: AgentDriver) -> None:
    """Starts would get a lease that is about to end, as none is extended."""
    ask_to_stop(agent)
    agent.effects.clear()
    for _ in range(3):
        assert agent.state.accepting()
        agent.handle(StopAnswered(RUN, False, False, agent.now_ms))
        agent.tick(20)
    updates = sent(agent.effects, WorkerRoom)
    assert not updates[-1].accepting
    effects = agent.handle(order_of_other_entry(agent), OTHER_LINK)
    assert [end.reason for end in sent(effects, RunEnded)] == ["not accepting"]
    assert sent(effects, StartRun) == []
    effects = agent.handle(StopAnswered(RUN, True, False, agent.now_ms))
    assert sent(effects, WorkerRoom)[-1].accepting


def test_lease_is_extended_soon_after_a_stop_is_confirmed(agent: AgentDriver) -> None:
    ask_to_stop(agent)
    agent.effects.clear()
    agent.hold(present=(ListedRun(RUN, 99),))
    assert [hold.wait_ms for hold in sent(agent.effects, HoldWorker)] == [20]


@pytest.mark.parametrize("late_ms", [1, 100, 300, 1_000])
def test_late_agent_extends_no_lease_of_a_lost_entry(
    agent: AgentDriver, late_ms: int
) -> None:
    """Replays an agent that waits for a processor when its timed action is due."""
    agent.effects.clear()
    agent.now_ms += timing.SILENCE_LIMIT_MS + late_ms
    agent.handle(order_of_other_entry(agent), OTHER_LINK)
    agent.hold(present=(ListedRun(RUN, 99),))
    assert sent(agent.effects, StopRun)[0].run == RUN
    leases = [hold.lease_until_ms for hold in sent(agent.effects, HoldWorker)]
    leases += [start.lease_until_ms for start in sent(agent.effects, StartRun)]
    assert max(leases) <= agent.now_ms - late_ms - timing.SILENCE_LIMIT_MS + (
        timing.LEASE_MS
    )


def test_runs_of_an_earlier_agent_process_get_no_lease() -> None:
    agent = AgentDriver()
    agent.effects.clear()
    agent.hold(present=(ListedRun(RUN, 99),))
    for _ in range(10):
        agent.tick(20)
        agent.handle(StopAnswered(RUN, False, False, agent.now_ms))
        agent.hold(present=(ListedRun(RUN, 99),))
    holds = sent(agent.effects, HoldWorker)
    assert len(holds) == 10
    assert {hold.lease_until_ms for hold in holds} == {0}


@pytest.mark.parametrize("answer_lost_ms", [100, 400, 700])
def test_runs_are_lost_only_after_the_lease_of_the_slowest_clock_has_ended(
    agent: AgentDriver, answer_lost_ms: int
) -> None:
    """The worker carries out holds whose answers are lost."""
    known_ms = agent.now_ms
    rate = 1 - timing.MAX_CLOCK_SLOWNESS
    agent.hold(present=(ListedRun(RUN, 99),))
    while not sent(agent.effects, RunEnded):
        agent.tick(10)
        agent.handle(EntryBeat(agent.now_ms, (1,)))
        if agent.state.hold_pending and agent.now_ms >= known_ms + answer_lost_ms:
            agent.hold(answered=False)
    leases = [hold.lease_until_ms for hold in sent(agent.effects, HoldWorker)]
    lease_ended_ms = known_ms + (max(leases) - known_ms) / rate
    assert agent.now_ms >= lease_ended_ms + timing.MAX_KILL_MS
