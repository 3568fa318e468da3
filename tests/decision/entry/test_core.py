"""Tests of the decision core of an entry: the effects of single events."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import pytest

from sardineferry.decision import events
from sardineferry.decision.effects import Answer
from sardineferry.decision.effects import Append
from sardineferry.decision.effects import Connect
from sardineferry.decision.effects import Disconnect
from sardineferry.decision.effects import Effect
from sardineferry.decision.effects import Exit
from sardineferry.decision.effects import Send
from sardineferry.decision.entry import EntryCore
from sardineferry.decision.entry import EntryPolicy
from sardineferry.decision.entry import EntryState
from sardineferry.decision.entry.dump import dump_entry
from sardineferry.decision.entry.routing import team_limit
from sardineferry.decision.preset import Preset
from sardineferry.messages import wire
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskResult
from sardineferry.messages.target import TargetShape

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

    from sardineferry.decision.entry.state import AgentView

MINION = TargetShape("minion", slots=2)
WORKER = TargetShape("worker", processors=4, memory_mb=4_000)
ANSWERED = TaskResult("answered", "yes", "", 50)
UNKNOWN = TaskResult("unknown", "", "fault", 5)
FAILED = TaskResult("failed", "", "bad request", 5)
QUOTAS = {"t": 100, "u": 100}


def make_core(agents: int = 2, shape: TargetShape = MINION, **policy: Any) -> EntryCore:
    entry_policy = EntryPolicy(**{"team_quotas": QUOTAS, **policy})
    core = EntryCore(
        EntryState("e", "run0", "here", "dc", entry_policy, random.Random(1))
    )
    for index in range(agents):
        name = f"agent-{index}"
        core.handle(wire.Announce(name, "run0", "dc", shape, 0), name, 0)
    return core


def job(name: str = "s", count: int = 1, **changes: Any) -> Job:
    items = tuple(Task(f"t{i}", "quote", True, "") for i in range(count))
    fields = {"team": "t", "budget_ms": 10_000, "tasks": items, **changes}
    return Job(name, **fields)


def submit(core: EntryCore, item: Job, token: int = 1, now_ms: int = 0) -> list[Effect]:
    return core.handle(events.Submit(token, item), "", now_ms)


def sent_starts(effects: list[Effect]) -> list[tuple[str, wire.Start]]:
    return [
        (item.to, item.message)
        for item in effects
        if isinstance(item, Send) and isinstance(item.message, wire.Start)
    ]


def sent_answers(effects: list[Effect]) -> list[Answer]:
    return [item for item in effects if isinstance(item, Answer)]


def send_result(
    core: EntryCore,
    to: str,
    start: wire.Start,
    result: TaskResult = ANSWERED,
    now_ms: int = 9,
) -> list[Effect]:
    return core.handle(wire.Done(start.attempt, result, 0), to, now_ms)


@pytest.mark.parametrize(
    ("change", "state", "reason", "retries"),
    [
        (
            {"tasks": (Task("x", "k", True, "", accelerators=1),)},
            "not_run",
            "never",
            False,
        ),
        (
            {"tasks": (Task("x", "k", True, "", run_ms=9_000),), "budget_ms": 100},
            "not_run",
            "deadline",
            True,
        ),
        (
            {"tasks": tuple(Task(f"x{i}", "k", True, "") for i in range(11))},
            "not_run",
            "queue is full",
            True,
        ),
    ],
)
def test_submit_refuses_jobs_that_cannot_be_served(
    change: dict[str, Any], state: str, reason: str, retries: bool
) -> None:
    core = make_core(queue_limit=10)
    (answer,) = sent_answers(submit(core, job(**change)))
    assert answer.answer.state == state
    assert reason in answer.answer.reason
    assert (answer.answer.retry_after_ms > 0) is retries


@pytest.mark.parametrize(
    ("preset", "admitted"), [("ordinary", True), ("peak", True), ("maintenance", False)]
)
def test_preset_decides_whether_jobs_are_admitted(preset: str, admitted: bool) -> None:
    core = make_core()
    core.handle(wire.PresetNotice(1, preset), "peer", 0)
    assert bool(sent_starts(submit(core, job()))) is admitted


def test_maintenance_preset_lets_running_jobs_finish() -> None:
    core = make_core()
    ((to, start),) = sent_starts(submit(core, job()))
    core.handle(wire.PresetNotice(1, "maintenance"), "peer", 1)
    (answer,) = sent_answers(send_result(core, to, start))
    assert answer.answer.state == "complete"


def test_preset_with_a_lower_version_is_ignored() -> None:
    core = make_core()
    core.handle(wire.PresetNotice(4, "peak"), "peer", 0)
    core.handle(wire.PresetNotice(3, "maintenance"), "peer", 0)
    assert core.state.preset == Preset(4, "peak")


def test_repeated_submission_attaches_and_gets_the_same_answer() -> None:
    core = make_core()
    ((to, start),) = sent_starts(submit(core, job(), token=1))
    assert submit(core, job(), token=2) == []
    both = sent_answers(send_result(core, to, start))
    (again,) = sent_answers(submit(core, job(), token=3))
    assert [item.token for item in both] == [1, 2]
    assert both[0].answer == both[1].answer == again.answer


def test_key_with_other_tasks_is_a_conflict() -> None:
    core = make_core()
    submit(core, job())
    (answer,) = sent_answers(submit(core, job(count=2), token=2))
    assert answer.answer.reason.startswith("conflict")


def test_fastest_agents_get_tasks_first_and_other_tasks_wait_in_the_entry() -> None:
    core = make_core(agents=2)
    core.state.agents["agent-1"].run_time_factor.value = 0.5
    core.tick(1)
    sent = sent_starts(submit(core, job(count=5)))
    assert [to for to, _ in sent] == ["agent-1", "agent-1", "agent-0", "agent-0"]
    assert core.state.queue.waiting == 1


def test_refused_task_goes_to_another_agent() -> None:
    core = make_core(agents=2)
    ((to, start),) = sent_starts(submit(core, job()))
    refused = wire.Refused(start.attempt, "no capacity", 2, False)
    ((other, again),) = sent_starts(core.handle(refused, to, 5))
    assert other != to
    assert again.attempt.number == 2


@pytest.mark.parametrize(
    ("idempotent", "result", "state", "outcome"),
    [
        (True, UNKNOWN, "pending", ""),
        (False, UNKNOWN, "failed", "unknown"),
        (False, FAILED, "failed", "failed"),
        (False, ANSWERED, "complete", "answered"),
    ],
)
def test_only_idempotent_tasks_are_retried(
    idempotent: bool, result: TaskResult, state: str, outcome: str
) -> None:
    core = make_core()
    task = Task("x", "hold", idempotent, "")
    ((to, start),) = sent_starts(submit_and_read_back(core, job(tasks=(task,))))
    effects = send_result(core, to, start, result)
    core.tick(500)
    if state == "pending":
        assert not sent_answers(effects)
        assert core.state.counters["starts"] == 2
        return
    (answer,) = sent_answers(effects)
    assert answer.answer.state == state
    assert answer.answer.outcomes[0].state == outcome


def submit_and_read_back(core: EntryCore, item: Job, now_ms: int = 0) -> list[Effect]:
    """Submit a job and read back its claim, if one is appended."""
    effects = submit(core, item, now_ms=now_ms)
    found = [effect for effect in effects if isinstance(effect, Append)]
    if not found:
        return effects
    return read_back(core, found[0], now_ms)


def read_back(core: EntryCore, effect: Append, now_ms: int) -> list[Effect]:
    record = events.LogRecord(0, effect.record_id, effect.body)
    return core.handle(events.LogRecords(effect.stream, 0, (record,)), "", now_ms)


def booking_job(**changes: Any) -> Job:
    return job(tasks=(Task("x", "hold", False, ""),), **changes)


def test_claim_is_read_back_before_the_first_start() -> None:
    core = make_core()
    effects = submit(core, booking_job())
    assert not sent_starts(effects)
    (append,) = (item for item in effects if isinstance(item, Append))
    assert sent_starts(read_back(core, append, 10))


@pytest.mark.parametrize(
    ("resubmission", "state"), [(False, "not_run"), (True, "unknown")]
)
def test_log_outage_is_answered_at_the_claim_timeout(
    resubmission: bool, state: str
) -> None:
    core = make_core()
    submit(core, booking_job(resubmission=resubmission))
    (answer,) = sent_answers(core.tick(1_500))
    assert answer.answer.state == state
    assert answer.answer.retry_after_ms > 0


def test_jobs_of_idempotent_tasks_append_nothing_to_the_log() -> None:
    core = make_core()
    effects = submit(core, job())
    assert sent_starts(effects)
    assert not any(isinstance(item, Append) for item in effects)


def test_claims_during_an_append_wait_for_the_next_one() -> None:
    core = make_core(claim_interval_ms=10)
    submit(core, booking_job(name="a"))
    submit(core, booking_job(name="b"))
    submit(core, booking_job(name="c"))
    assert core.state.counters["claim_appends"] == 1
    assert set(core.state.pending_claims) == {"b", "c"}


def starts_in_flight(view: AgentView) -> list[wire.Start]:
    return [
        wire.Start(
            Attempt(
                task.job.spec.submission,
                task.spec.id,
                task.attempt_by_agent[view.name],
            ),
            view.incarnation,
            0,
            100,
            task.spec,
        )
        for task in view.in_flight.values()
    ]


@pytest.mark.parametrize(
    ("running", "limit"),
    [({}, 100), ({"t": 30}, 70), ({"t": 100}, 50), ({"u": 90}, 100)],
)
def test_team_quota_is_shared_by_digests(running: dict[str, int], limit: int) -> None:
    core = make_core()
    core.handle(events.LinkUp("there"), "there", 0)
    hello = wire.PeerHello("f", "run0", "there", "dc", "ordinary", 0)
    core.handle(hello, "there", 0)
    core.handle(wire.PeerDigest("f", running), "entry/f", 0)
    assert team_limit(core.state, "t", 10) == limit
    # A silent peer counts as using an even share of the quota.
    assert team_limit(core.state, "t", 10_000) == 50


def test_burst_of_one_team_hardly_delays_another() -> None:
    core = make_core(agents=1)
    submit(core, job(name="burst", count=50))
    submit(core, job(name="small", count=2, team="u"), token=2)
    order = []
    while core.state.agents["agent-0"].in_flight:
        start = starts_in_flight(core.state.agents["agent-0"])[0]
        order.append(start.attempt.submission)
        send_result(core, "agent-0", start)
    assert max(index for index, name in enumerate(order) if name == "small") < 8


def test_cancellations_are_sent_as_one_message_per_agent() -> None:
    core = make_core(agents=1)
    for index in range(2):
        submit(core, job(name=f"j{index}", count=3), token=index)
    for index in range(2):
        core.handle(events.CancelJob(10 + index, f"j{index}"), "", 5)
    effects = core.tick(20)
    cancels = [
        item.message
        for item in effects
        if isinstance(item, Send) and isinstance(item.message, wire.Cancel)
    ]
    assert cancels == [wire.Cancel(("j0",))]


@pytest.mark.parametrize(
    ("silent", "agents", "lost"), [(1, 4, 1), (3, 4, 0), (4, 4, 0), (2, 2, 2)]
)
def test_mass_silence_delays_the_loss_of_agents(
    silent: int, agents: int, lost: int
) -> None:
    core = make_core(agents=agents)
    for now_ms in range(0, 6_000, 250):
        for index in range(silent, agents):
            core.handle(wire.Heartbeat(now_ms, 0), f"agent-{index}", now_ms)
        core.tick(now_ms)
    states = [item.state for item in core.state.agents.values()]
    assert states.count("lost") == lost
    assert states.count("suspect") == silent - lost


def test_leaving_agent_gets_no_new_tasks() -> None:
    core = make_core(agents=2)
    core.handle(wire.Leaving("drain"), "agent-0", 0)
    assert {to for to, _ in sent_starts(submit(core, job(count=2)))} == {"agent-1"}


def test_draining_entry_refuses_jobs_and_exits_after_the_last_one() -> None:
    core = make_core()
    ((to, start),) = sent_starts(submit(core, job()))
    core.handle(events.Drain("test"), "", 1)
    (answer,) = sent_answers(submit(core, job(name="late"), token=2))
    assert answer.answer.state == "not_run"
    assert not any(isinstance(item, Exit) for item in core.tick(2))
    send_result(core, to, start)
    assert any(isinstance(item, Exit) for item in core.tick(30))


def test_dump_is_stable(snapshot: SnapshotAssertion) -> None:
    core = make_core()
    submit(core, job(count=5))
    core.handle(events.LinkUp("there"), "there", 0)
    hello = wire.PeerHello("f", "run0", "there", "dc", "ordinary", 0)
    core.handle(hello, "there", 0)
    assert dump_entry(core.state) == snapshot


def test_job_cancelled_before_its_claim_is_read_starts_nothing() -> None:
    core = make_core()
    (append,) = (
        item for item in submit(core, booking_job()) if isinstance(item, Append)
    )
    core.handle(events.CancelJob(9, "s"), "", 1)
    effects = read_back(core, append, 10)
    assert not sent_starts(effects)
    assert {item.answer.state for item in sent_answers(effects)} == {"not_run"}


def test_new_peer_is_dialled_and_named_to_agents() -> None:
    core = make_core(agents=1)
    hello = wire.PeerHello("f", "run0", "there", "dc", "ordinary", 0)
    effects = core.handle(hello, "entry/f", 0)
    assert Connect("there") in effects
    (welcome,) = (
        item.message
        for item in effects
        if isinstance(item, Send) and isinstance(item.message, wire.Welcome)
    )
    assert welcome.addresses == ("here", "there")


def test_peer_that_is_silent_for_long_is_removed() -> None:
    core = make_core()
    hello = wire.PeerHello("f", "run0", "there", "dc", "ordinary", 0)
    core.handle(hello, "entry/f", 0)
    assert Disconnect("there") in core.tick(61_000)
    assert core.state.peers == {}
