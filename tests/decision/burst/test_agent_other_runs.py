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


@pytest.mark.parametrize(
    ("estimate_ms", "is_repeat", "is_reported"),
    [(199, False, False), (199, True, True), (200, False, True)],
)
def test_runs_that_copies_may_meet_are_reported_at_once(
    agent: AgentDriver, estimate_ms: int, is_repeat: bool, is_reported: bool
) -> None:
    """Copies of a request may arrive at two entries at the same moment."""
    run, expires_ms = ref(2), agent.now_ms + 400
    agent.handle(
        StartRuns(2, expires_ms, (run,), "", NEED, estimate_ms, True, is_repeat)
    )
    running = JobTasks(job().job_id, "e", (2,))
    report = OtherRuns((running,), is_urgent=is_repeat)
    assert reports(agent) == [(OTHER_LINK, report)] * is_reported


def test_run_that_an_order_of_another_entry_waits_for_is_reported_at_once(
    agent: AgentDriver,
) -> None:
    """Guards against that entry ordering the job's other tasks elsewhere."""
    message = StartRuns(1, agent.now_ms + 400, RUNS[:1], "", NEED, 100, True)
    agent.handle(message, OTHER_LINK)
    assert reports(agent) == [(OTHER_LINK, OtherRuns((REPORTED._replace(tasks=(0,)),)))]


def test_short_runs_that_are_done_are_reported_later(agent: AgentDriver) -> None:
    """Copies of their request then need no further run."""
    agent.tick(100)
    agent.hold(ends=tuple(ListedEnd(n, run, "done") for n, run in enumerate(RUNS, 1)))
    assert reports(agent) == []
    for _ in range(4):
        agent.tick(250)
    assert reports(agent) == [(OTHER_LINK, OtherRuns((), (REPORTED,)))]


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


@pytest.mark.parametrize(("waited_ms", "done"), [(1_900, (REPORTED,)), (2_100, ())])
def test_new_link_begins_with_runs_that_are_done_of_late(
    agent: AgentDriver, waited_ms: int, done: tuple[JobTasks, ...]
) -> None:
    """The report may have been lost with the link before."""
    agent.tick(50)
    agent.hold(ends=tuple(ListedEnd(n, run, "done") for n, run in enumerate(RUNS, 1)))
    for _ in range(waited_ms // 100):
        agent.tick(100)
    agent.effects.clear()
    agent.link(OTHER_LINK, "f")
    assert reports(agent) == [(OTHER_LINK, OtherRuns((), done, is_complete=True))]


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
