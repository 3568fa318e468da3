"""Tests of what an agent tells entries of the runs that other entries have ordered."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.worker import ListedEnd
from sardineferry.decision.burst.worker import ListedRun
from sardineferry.decision.effects import Send
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import OtherRuns
from sardineferry.messages.burst import StartRuns
from tests.decision.burst.drive import LINK
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import ref

OTHER_LINK = "10.0.0.2:7000"
RUNS = (ref(0), ref(1))
REPORTED = JobTasks(job().job_id, "e", (0, 1))


@pytest.fixture
def agent() -> AgentDriver:
    """Return an agent, linked to two entries, that has started runs for ``e``."""
    agent = AgentDriver()
    agent.link(OTHER_LINK, "f")
    agent.order(*RUNS)
    for run in RUNS:
        agent.answer(run)
    agent.effects.clear()
    return agent


def reports(agent: AgentDriver) -> list[tuple[str, OtherRuns]]:
    """Return what has been reported, by link."""
    return [
        (effect.to, effect.message)
        for effect in agent.effects
        if isinstance(effect, Send) and isinstance(effect.message, OtherRuns)
    ]


def run_for(agent: AgentDriver, elapsed_ms: int) -> None:
    present = tuple(ListedRun(run, 50) for run in RUNS)
    for _ in range(elapsed_ms // 50):
        agent.tick(50)
        if agent.state.hold_pending:
            agent.hold(present=present)


@pytest.mark.parametrize(
    ("elapsed_ms", "expected"),
    [(150, []), (250, [(OTHER_LINK, OtherRuns((REPORTED,)))])],
)
def test_runs_that_last_longer_than_estimated_are_reported_once_to_other_entries(
    agent: AgentDriver, elapsed_ms: int, expected: list[tuple[str, OtherRuns]]
) -> None:
    run_for(agent, elapsed_ms)
    assert reports(agent) == expected


@pytest.mark.parametrize("estimate_ms", [199, 200])
def test_runs_that_should_last_are_reported_at_once(
    agent: AgentDriver, estimate_ms: int
) -> None:
    """Copies of a request may arrive at two entries at the same moment."""
    run = ref(2)
    message = StartRuns(2, agent.now_ms + 400, (run,), "", NEED, estimate_ms, True)
    agent.handle(message)
    running = JobTasks(job().job_id, "e", (2,))
    expected = [(OTHER_LINK, OtherRuns((running,)))] * (estimate_ms == 200)
    assert reports(agent) == expected


@pytest.mark.parametrize("how", ["done", "failed", "lost"])
@pytest.mark.parametrize("elapsed_ms", [150, 250])
def test_ends_of_reported_runs_are_reported_at_once(
    agent: AgentDriver, how: str, elapsed_ms: int
) -> None:
    """A run that ends before it was reported needs no word."""
    run_for(agent, elapsed_ms)
    agent.effects.clear()
    agent.tick(10)
    agent.hold(ends=tuple(ListedEnd(n, run, how) for n, run in enumerate(RUNS, 1)))
    ended = (
        OtherRuns((), (REPORTED,)) if how == "done" else OtherRuns((), (), (REPORTED,))
    )
    assert reports(agent) == [(OTHER_LINK, ended)] * (elapsed_ms == 250)


@pytest.mark.parametrize(
    ("entry", "expected"), [("e", ()), ("f", (REPORTED,)), ("g", (REPORTED,))]
)
def test_new_link_begins_with_all_reported_runs_of_others(
    agent: AgentDriver, entry: str, expected: tuple[JobTasks, ...]
) -> None:
    run_for(agent, 250)
    agent.effects.clear()
    agent.link(LINK, entry)
    assert reports(agent) == [(LINK, OtherRuns(expected, is_complete=True))]
