"""Tests of the rules of an evacuation: lists, orders, waiting jobs, repeated starts."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.evacuation import EvacuationRelay
from sardineferry.decision.burst.evacuation import EvacuationsRead
from sardineferry.decision.burst.evacuation import WaitingJob
from sardineferry.decision.burst.evacuation import find_jobs_to_refuse
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.worker import ListedEnd
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import Evacuations
from sardineferry.messages.burst import HeldRuns
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.burst import WorkerProfile
from tests.decision.burst.drive import LINK
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import logged
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import sent
from tests.decision.burst.drive import submit

RUN = ref()
OTHER_LINK = "10.0.0.2:7000"
LISTED = Evacuations(5, ("dc",))
REVOKED = Evacuations(6, ())


@pytest.mark.parametrize(
    ("offered", "held"),
    [
        (Evacuations(4, ()), LISTED),
        (Evacuations(5, ("x",)), LISTED),
        (REVOKED, REVOKED),
        (Evacuations(6, ("dc", "x")), Evacuations(6, ("dc", "x"))),
    ],
    ids=["older", "same position", "revoked", "extended"],
)
def test_only_a_list_with_a_higher_position_is_adopted(
    offered: Evacuations, held: Evacuations
) -> None:
    """Guards against a delayed list that replaces a newer one."""
    relay = EvacuationRelay()
    relay.adopt(LISTED, 1)
    relay.adopt(offered, 2)
    assert relay.current == held


@pytest.mark.parametrize(
    ("offered", "answer"),
    [
        (Evacuations(4, ()), [Send("x", LISTED)]),
        (Evacuations(4, ("dc",)), []),
        (LISTED, []),
        (REVOKED, []),
    ],
)
def test_outdated_list_of_another_process_is_corrected(
    offered: Evacuations, answer: list[Send]
) -> None:
    """Guards against a list that stays in force as its successor's message was lost."""
    relay = EvacuationRelay()
    relay.adopt(LISTED, 1)
    assert relay.correct("x", offered) == answer


WAITS = WaitingJob(1_000.0, 1_010, True, True)


@pytest.mark.parametrize(
    ("jobs", "rate", "refused"),
    [
        ([WAITS, WAITS], 100.0, []),
        ([WAITS, WAITS, WAITS], 99.0, [1, 2]),
        ([WAITS, WAITS._replace(latest_start_ms=1_011), WAITS], 99.0, [2]),
        ([WAITS._replace(has_worker=False), WAITS], 99.0, [0]),
        ([WAITS._replace(may_be_refused=False), WAITS], 99.0, [1]),
        ([WAITS, WAITS._replace(may_be_refused=False, has_worker=False)], 1.0, []),
        ([WAITS, WAITS], 0.0, []),
    ],
    ids=["in time", "late", "one late", "no worker", "started", "held", "rate unknown"],
)
def test_jobs_that_remaining_workers_start_late_are_refused(
    jobs: list[WaitingJob], rate: float, refused: list[int]
) -> None:
    """Guards against refusing a started job, or one whose wait is not known."""
    assert list(find_jobs_to_refuse(jobs, rate, 1_000)) == refused


@pytest.fixture
def agent() -> AgentDriver:
    return AgentDriver()


def test_agent_refuses_orders_but_goes_on_accepting(agent: AgentDriver) -> None:
    """Guards against starts by entries without the list, and against a drain."""
    agent.order(RUN)
    agent.answer(RUN)
    agent.handle(LISTED)
    effects = agent.order(ref(1))
    assert sent(effects, StartRun) == []
    assert [end.reason for end in sent(effects, RunEnded)] == ["evacuated"]
    assert agent.state.accepting()
    assert agent.state.runs[RUN].status == "running"
    agent.handle(REVOKED)
    assert len(sent(agent.order(ref(1, 2)), StartRun)) == 1


@pytest.mark.parametrize("is_listed_first", [True, False])
@pytest.mark.parametrize(
    ("how", "expected"),
    [("done", ("done", "done")), ("lost", ("refused", "evacuated"))],
)
def test_order_for_a_task_that_runs_waits_and_then_starts_nothing(
    agent: AgentDriver, is_listed_first: bool, how: str, expected: tuple[str, str]
) -> None:
    """Guards against a refusal on which the task is ordered elsewhere while it runs."""
    agent.order(RUN)
    agent.answer(RUN)
    agent.link(OTHER_LINK, "f")
    order = StartRuns(1, agent.now_ms + 400, (ref(0, 2),), "spec", NEED, 100, True)
    events = [order, LISTED]
    if is_listed_first:
        events.reverse()
    for event in events:
        effects = agent.handle(event, OTHER_LINK)
        assert sent(effects, RunEnded) == []
    agent.now_ms += 1
    effects = agent.hold(ends=(ListedEnd(1, RUN, how),))
    ends = {end.run.attempt: (end.how, end.reason) for end in sent(effects, RunEnded)}
    assert ends[2] == expected
    assert sent(agent.effects, StartRun)[1:] == []


@pytest.mark.parametrize(
    "answer", [StartAnswer.UNANSWERED, StartAnswer.FENCED, StartAnswer.LATE]
)
def test_start_request_is_not_repeated_but_stopped(
    agent: AgentDriver, answer: StartAnswer
) -> None:
    """Guards against a start by a request that is sent again after the evacuation."""
    agent.order(RUN)
    agent.handle(LISTED)
    effects = agent.answer(RUN, answer)
    assert sent(effects, StartRun) == []
    assert [stop.run for stop in sent(effects, StopRun)] == [RUN]


def test_agent_passes_a_list_on_once_and_first_on_a_new_link(
    agent: AgentDriver,
) -> None:
    """Guards against entries that order before they know, and endless relaying."""
    agent.link(OTHER_LINK, "f")
    effects = [*agent.handle(LISTED), *agent.handle(LISTED, OTHER_LINK)]
    assert [e for e in effects if isinstance(e, Send)] == [Send(OTHER_LINK, LISTED)]
    agent.effects.clear()
    agent.link("10.0.0.3:7000", "g")
    assert [
        type(message)
        for message in sent(agent.effects, object)
        if isinstance(message, Evacuations | HeldRuns)
    ] == [Evacuations, HeldRuns]


@pytest.fixture
def entry() -> EntryDriver:
    return EntryDriver()


def test_entry_sends_its_list_first_after_the_welcome(entry: EntryDriver) -> None:
    """Guards against an agent that restarts and starts a run before it knows."""
    effects = entry.handle(EvacuationsRead(LISTED))
    assert [effect.to for effect in effects if isinstance(effect, Send)] == ["a", "b"]
    effects = entry.handle(WorkerAnnounce("a", "2", "dc"), "a")
    messages = [effect.message for effect in effects if isinstance(effect, Send)]
    assert isinstance(messages[0], EntryWelcome)
    assert messages[1] == LISTED


def test_new_job_is_refused_at_once_until_the_revocation(entry: EntryDriver) -> None:
    """Guards against holding callers for workers that may not be used."""
    entry.handle(EvacuationsRead(LISTED))
    effects = entry.handle(submit(1, job()))
    assert [reply.kind for reply in sent(effects, BurstReply)] == [ReplyKind.NOT_RUN]
    assert entry.state.ready()
    entry.handle(EvacuationsRead(REVOKED))
    assert sent(entry.handle(submit(2, job(2))), StartRuns) != []


def test_waiting_tasks_are_placed_at_once_after_the_revocation() -> None:
    """Guards against capacity that stays idle until the next report or tick."""
    entry = EntryDriver("a")
    entry.handle(WorkerAnnounce("b", "1", "dc-2"), "b")
    entry.handle(WorkerProfile("desk", TOTAL, ("a",), 1, False), "b")
    entry.report_capacity("b", TOTAL)
    entry.handle(EvacuationsRead(Evacuations(5, ("dc-2",))))
    entry.handle(submit(1, job(tasks=6)))
    assert [(name, len(order.runs)) for name, order in entry.orders()] == [("a", 4)]
    effects = entry.handle(EvacuationsRead(REVOKED))
    assert [len(order.runs) for order in sent(effects, StartRuns)] == [2]


def test_job_that_an_agent_refuses_as_evacuated_is_reviewed(entry: EntryDriver) -> None:
    """Guards against a job that waits as its order crossed the list on a link."""
    entry.handle(submit(1, job()))
    [(name, order)] = entry.orders()
    effects = entry.handle(EvacuationsRead(LISTED))
    assert sent(effects, BurstReply) == []
    effects = entry.handle(RunEnded(order.runs[0], "refused", 0, "evacuated"), name)
    assert [reply.kind for reply in sent(effects, BurstReply)] == [ReplyKind.NOT_RUN]


def test_unknown_data_centre_is_logged_and_counted_once(entry: EntryDriver) -> None:
    """Guards against a name with a typing error that nobody notices."""
    for position in (5, 6):
        entry.handle(EvacuationsRead(Evacuations(position, ("dc", "nowhere"))))
        entry.handle(EvacuationsRead(Evacuations(position + 10, ("nowhere",))))
    lines = logged(entry.effects, "evacuation of an unknown data centre")
    assert [line["data_centre"] for line in lines] == ["nowhere"]
    assert entry.state.counters["evacuations_unknown"] == 1
    assert [line["added"] for line in logged(entry.effects, "evacuation adopted")] == [
        ["dc", "nowhere"],
        [],
    ]
    assert sent(entry.handle(submit(1, job())), StartRuns) != []


def test_agent_ignores_a_list_without_its_data_centre(agent: AgentDriver) -> None:
    """Guards against effects on data centres that are not evacuated."""
    agent.handle(Evacuations(5, ("x",)), LINK)
    assert len(sent(agent.order(RUN), StartRun)) == 1
