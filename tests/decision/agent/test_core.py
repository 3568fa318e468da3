"""Tests of the decision core of an agent: which tasks it starts, refuses, answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from sardineferry.decision import events
from sardineferry.decision.agent import AgentCore
from sardineferry.decision.agent import AgentPolicy
from sardineferry.decision.agent import AgentState
from sardineferry.decision.agent.dump import dump_agent
from sardineferry.decision.effects import CheckpointTask
from sardineferry.decision.effects import Connect
from sardineferry.decision.effects import Disconnect
from sardineferry.decision.effects import Effect
from sardineferry.decision.effects import Exit
from sardineferry.decision.effects import RunTask
from sardineferry.decision.effects import Send
from sardineferry.decision.effects import StopTask
from sardineferry.decision.effects import ThrottleTask
from sardineferry.messages import wire
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskResult
from sardineferry.messages.target import TargetShape

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

OK = TaskResult("answered", "yes", "", 5)


def make_core(
    slots: int = 2, policy: AgentPolicy | None = None, entries: tuple[str, ...] = ("e",)
) -> AgentCore:
    shape = TargetShape("minion", slots=slots)
    core = AgentCore(AgentState("a", "run0", "dc", shape, policy or AgentPolicy()))
    for entry in entries:
        core.handle(events.LinkUp(entry), entry, 0)
        welcome = wire.Welcome(entry, "run0", (), "ordinary", 0)
        core.handle(welcome, entry, 0)
    return core


def start(
    name: str = "t",
    number: int = 1,
    epoch: int = 0,
    idempotent: bool = False,
    budget_ms: int = 1_000,
) -> wire.Start:
    task = Task(name, "k", idempotent, "")
    attempt = Attempt("s", name, number)
    return wire.Start(attempt, "run0", epoch, budget_ms, task)


def tasks_run(effects: list[Effect]) -> list[str]:
    return [item.task.id for item in effects if isinstance(item, RunTask)]


def sent(effects: list[Effect], kind: type) -> list[object]:
    return [
        item.message
        for item in effects
        if isinstance(item, Send) and isinstance(item.message, kind)
    ]


class Repeat(NamedTuple):
    """Events of a task, and then a start of its attempt ``number``.

    ``reruns`` is true if that start must run the task.
    """

    before: tuple[object, ...]
    number: int
    idempotent: bool
    reruns: bool


FINISHED = events.TargetFinished(Attempt("s", "t", 1), OK)
FAILED = events.TargetFinished(
    Attempt("s", "t", 1), TaskResult("unknown", "", "fault", 5)
)


@pytest.mark.parametrize(
    "case",
    [
        Repeat((start(),), 1, False, False),
        Repeat((start(),), 2, False, False),
        Repeat((start(), FINISHED), 1, False, False),
        Repeat((start(), FINISHED), 2, False, False),
        Repeat((start(), FAILED), 2, False, False),
        Repeat((start(idempotent=True), FAILED), 2, True, True),
        Repeat((start(idempotent=True), FINISHED), 2, True, False),
        Repeat((wire.Revoke("s", (("t", 1),)),), 1, False, False),
        Repeat((wire.Revoke("s", (("t", 1),)),), 2, False, True),
    ],
)
def test_start_runs_a_task_at_most_once(case: Repeat) -> None:
    core = make_core()
    for message in case.before:
        core.handle(message, "e", 10)
    again = start(number=case.number, idempotent=case.idempotent)
    assert bool(tasks_run(core.handle(again, "e", 20))) is case.reruns


def test_repeated_start_gets_the_recorded_answer() -> None:
    core = make_core()
    core.handle(start(), "e", 0)
    core.handle(FINISHED, "", 5)
    (done,) = sent(core.handle(start(), "e", 10), wire.Done)
    assert done == wire.Done(Attempt("s", "t", 1), OK, 0)


@pytest.mark.parametrize(
    ("message", "now_ms", "reason"),
    [
        (start(), 4_001, "lease lapsed"),
        (start(budget_ms=0), 10, "deadline"),
        (start(epoch=1), 10, "fenced by a later epoch"),
    ],
)
def test_refused_start_leaves_a_tombstone(
    message: wire.Start, now_ms: int, reason: str
) -> None:
    core = make_core()
    core.handle(wire.Inquire("s", 2), "e", 0)
    message = message if reason.startswith("fenced") else message._replace(epoch=2)
    effects = core.handle(message, "e", now_ms)
    (refused,) = sent(effects, wire.Refused)
    assert isinstance(refused, wire.Refused)
    assert refused.reason == reason
    # The tombstone refuses the same attempt even with a valid lease and budget.
    core.handle(wire.LeaseEcho(now_ms), "e", now_ms)
    assert not tasks_run(core.handle(message._replace(budget_ms=500), "e", now_ms + 1))


def test_full_start_table_refuses_new_tasks() -> None:
    core = make_core(slots=8, policy=AgentPolicy(table_limit=2))
    names = ("a", "b", "c")
    started = [tasks_run(core.handle(start(name), "e", 0)) for name in names]
    assert started == [["a"], ["b"], []]


def test_lease_is_renewed_from_when_the_heartbeat_was_sent() -> None:
    core = make_core()
    # The agent was paused, so it handles the echo of an old heartbeat late.
    core.handle(wire.LeaseEcho(1_000), "e", 9_000)
    assert not tasks_run(core.handle(start(), "e", 9_000))


def test_queue_runs_in_order_and_refuses_overdue_tasks() -> None:
    core = make_core(slots=1, policy=AgentPolicy(queue_units=2))
    core.handle(start("a", budget_ms=900), "e", 0)
    core.handle(start("b", budget_ms=100), "e", 0)
    core.handle(start("c", budget_ms=900), "e", 0)
    finished = events.TargetFinished(Attempt("s", "a", 1), OK)
    effects = core.handle(finished, "", 500)
    assert tasks_run(effects) == ["c"]
    (refused,) = sent(effects, wire.Refused)
    assert isinstance(refused, wire.Refused)
    assert (refused.attempt.task, refused.reason) == ("b", "deadline")


def test_draining_agent_refuses_its_queue_and_exits_when_idle() -> None:
    core = make_core(slots=1, policy=AgentPolicy(queue_units=1))
    core.handle(start("a"), "e", 0)
    core.handle(start("b"), "e", 0)
    effects = core.handle(events.Drain("test"), "", 1)
    assert sent(effects, wire.Leaving)
    assert sent(effects, wire.Refused)
    assert not core.tick(2) or not any(isinstance(item, Exit) for item in core.tick(2))
    assert not tasks_run(core.handle(start("c"), "e", 3))
    finished = events.TargetFinished(Attempt("s", "a", 1), OK)
    assert sent(core.handle(finished, "", 4), wire.Done)
    assert Exit("drained") in core.tick(5)


def worker_core() -> AgentCore:
    shape = TargetShape("worker", processors=4, memory_mb=4_000)
    core = AgentCore(AgentState("w", "run0", "dc", shape, AgentPolicy()))
    core.handle(events.LinkUp("e"), "e", 0)
    core.handle(wire.Welcome("e", "run0", (), "ordinary", 0), "e", 0)
    return core


def test_overcommitted_worker_throttles_then_checkpoints_then_stops() -> None:
    core = worker_core()
    core.handle(start("hold"), "e", 0)
    core.handle(start("quote", idempotent=True), "e", 1)
    attempt = Attempt("s", "quote", 1)
    report = events.UsageReported((events.TaskUsage(attempt, 6.0, 100),))
    actions = [core.handle(report, "", 10)[0] for _ in range(3)]
    assert actions == [
        ThrottleTask(attempt),
        CheckpointTask(attempt),
        StopTask(attempt),
    ]


def test_usage_corrects_declared_sizes() -> None:
    core = worker_core()
    core.handle(start("a"), "e", 0)
    attempt = Attempt("s", "a", 1)
    report = events.UsageReported((events.TaskUsage(attempt, 3.0, 100),))
    core.handle(report, "", 10)
    core.handle(start("b"), "e", 20)
    core.handle(start("c"), "e", 20)
    effects = core.handle(start("d"), "e", 20)
    assert core.state.running["s", "b"].units == 3
    (refused,) = sent(effects, wire.Refused)
    assert isinstance(refused, wire.Refused)
    assert refused.reason == "no capacity"


def test_cancel_refuses_queued_tasks_and_stops_idempotent_ones() -> None:
    core = make_core(slots=2, policy=AgentPolicy(queue_units=1))
    core.handle(start("hold"), "e", 0)
    core.handle(start("quote", idempotent=True), "e", 0)
    core.handle(start("late"), "e", 0)
    effects = core.handle(wire.Cancel(("s",)), "e", 1)
    assert StopTask(Attempt("s", "quote", 1)) in effects
    assert len([item for item in effects if isinstance(item, StopTask)]) == 1
    (refused,) = sent(effects, wire.Refused)
    assert isinstance(refused, wire.Refused)
    assert refused.attempt.task == "late"


def test_purge_keeps_rows_of_running_tasks() -> None:
    core = make_core()
    core.handle(start(idempotent=True), "e", 0)
    core.tick(1_000_000)
    assert core.state.table.row_count == 1
    core.handle(FINISHED, "", 1_000_001)
    core.tick(2_000_000)
    assert core.state.table.row_count == 0


def test_dump_is_stable(snapshot: SnapshotAssertion) -> None:
    core = make_core()
    core.handle(start("a"), "e", 0)
    core.handle(start("b"), "e", 0)
    assert dump_agent(core.state) == snapshot


def test_learned_address_without_a_link_is_replaced() -> None:
    core = make_core(policy=AgentPolicy(max_known_entries=1))
    first = wire.Welcome("e", "run0", ("gone",), "ordinary", 0)
    assert Connect("gone") in core.handle(first, "e", 0)
    second = wire.Welcome("e", "run0", ("new",), "ordinary", 0)
    assert core.handle(second, "e", 1) == []
    assert Disconnect("gone") in core.tick(61_000)
    assert Connect("new") in core.handle(second, "e", 61_001)


def test_start_for_an_earlier_incarnation_is_ignored() -> None:
    core = make_core()
    misdirected = start()._replace(incarnation="run-1")
    assert core.handle(misdirected, "e", 0) == []
    assert core.state.table.row_count == 0
