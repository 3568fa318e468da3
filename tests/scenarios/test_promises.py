"""Steps of the scenarios; the decision code runs under virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.virtual.callers import make_mixed_job
from bench.virtual.invariants import find_violations
from bench.virtual.invariants import non_idempotent_tasks_start_once
from bench.virtual.invariants import preset_versions_never_decrease
from bench.virtual.simulation import Simulation
from bench.virtual.simulation import SimulationConfig
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from sardineferry.decision.entry import EntryPolicy
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task

if TYPE_CHECKING:
    from sardineferry.messages.job import JobAnswer

scenarios("promises.feature")

BUDGET_MS = 8_000
END_MS = 20_000
REPUBLISH_MS = 60_000


class Stage:
    """A world and what the scenario submitted to it."""

    def __init__(self, entries: int, agents: int) -> None:
        policy = EntryPolicy({"team": 1_000}, republish_ms=REPUBLISH_MS)
        plan = SimulationConfig(entries, (1.0,) * agents, entry_policy=policy)
        self.world = Simulation(plan)
        self.jobs: list[tuple[int, Job]] = []
        self.went_on_ms = 0.0
        self.world.run_until_ms(500)

    def submit(self, entry: str, job: Job) -> None:
        self.jobs.append((self.world.submit(entry, job), job))

    def wait_ms(self, delay_ms: float) -> None:
        self.world.run_until_ms(self.world.schedule.now_us / 1_000 + delay_ms)

    def last_answer(self) -> JobAnswer:
        token = self.jobs[-1][0]
        found = [item for item in self.world.history.answered if item.token == token]
        assert len(found) == 1
        return found[0].answer

    def finish(self) -> None:
        self.wait_ms(END_MS)
        assert find_violations(self.world.history) == []


@given(
    parsers.parse("{entries:d} entries and {agents:d} agents"), target_fixture="stage"
)
def make_stage(entries: int, agents: int) -> Stage:
    return Stage(entries, agents)


@given(parsers.parse("the log loses the answers to its next {count:d} appends"))
def lose_answers(stage: Stage, count: int) -> None:
    stage.world.log.lose_answers = count


@given("the log is down")
@when("the log goes down")
def log_down(stage: Stage) -> None:
    stage.world.log.down = True


@given(parsers.parse("{agent} is paused"))
def pause(stage: Stage, agent: str) -> None:
    stage.world.pause(agent)


@given(parsers.parse("{agent} stalls every task for {time:d} ms"))
def stall(stage: Stage, agent: str, time: int) -> None:
    stage.world.nodes[agent].target.stall_ms = time


@given(parsers.parse("{agent} fails everything"))
def fail(stage: Stage, agent: str) -> None:
    stage.world.nodes[agent].target.failing = True


@given(parsers.parse("the log is slow by {time:d} ms"))
def slow_log(stage: Stage, time: int) -> None:
    stage.world.log.slow_ms = time


@given(parsers.parse("tasks take {factor:d} times as long as declared"))
def misdeclare(stage: Stage, factor: int) -> None:
    for agent in stage.world.agents:
        stage.world.nodes[agent].target.slowness = float(factor)


@when(
    parsers.parse("{time:d} ms pass with the ordinary preset and a budget for hedges")
)
def pass_with_hedges(stage: Stage, time: int) -> None:
    for entry in stage.world.entries:
        state = stage.world.entry_state(entry)
        assert state.preset.name == "ordinary"
        state.hedge_budget.tokens = 10.0
    stage.wait_ms(time)


@when(parsers.parse("a caller submits a booking job of {count:d} tasks to {entry}"))
def submit_booking(stage: Stage, count: int, entry: str) -> None:
    stage.submit(entry, make_mixed_job("job", count, BUDGET_MS))


@when(parsers.parse("a caller submits a quote job of {count:d} tasks to {entry}"))
def submit_quote(stage: Stage, count: int, entry: str) -> None:
    tasks = tuple(Task(f"t{i}", "quote", True, "", run_ms=80) for i in range(count))
    stage.submit(entry, Job("job", "team", BUDGET_MS, tasks, resubmission=False))


@when("a caller submits a job that needs an accelerator")
def submit_impossible(stage: Stage) -> None:
    tasks = (Task("t", "quote", True, "", accelerators=1),)
    stage.submit("entry-0", Job("job", "team", BUDGET_MS, tasks))


@when(parsers.parse("{callers:d} callers submit jobs of {count:d} tasks at once"))
def submit_many(stage: Stage, callers: int, count: int) -> None:
    for index in range(callers):
        entry = stage.world.entries[index % 2]
        stage.submit(entry, make_mixed_job(f"job-{index}", count, BUDGET_MS))


@when(
    parsers.parse(
        "the link between {one} and {other} is cut after {delay:d} ms for {time:d} ms"
    )
)
def cut(stage: Stage, one: str, other: str, delay: int, time: int) -> None:
    stage.wait_ms(delay)
    stage.world.partition(one, other)
    stage.wait_ms(time)
    stage.world.heal()


@when(
    parsers.parse(
        "the link between {one} and {other} is delayed after {delay:d} ms "
        "for {time:d} ms"
    )
)
def delay_link(stage: Stage, one: str, other: str, delay: int, time: int) -> None:
    stage.wait_ms(delay)
    stage.world.delay_messages(one, other)
    stage.wait_ms(time)
    stage.world.heal()


@when(parsers.parse("{node} is killed after {delay:d} ms"))
def kill(stage: Stage, node: str, delay: int) -> None:
    stage.wait_ms(delay)
    stage.world.kill(node)


@when(parsers.parse("{node} is drained after {delay:d} ms"))
def drain(stage: Stage, node: str, delay: int) -> None:
    stage.wait_ms(delay)
    stage.world.drain(node)


@when(parsers.parse("{node} is restarted"))
def restart(stage: Stage, node: str) -> None:
    stage.world.restart(node)


@when(parsers.parse("{agent} goes on after {delay:d} ms"))
def go_on(stage: Stage, agent: str, delay: int) -> None:
    stage.wait_ms(delay)
    stage.went_on_ms = stage.world.schedule.now_us / 1_000
    stage.world.resume(agent)


@when(parsers.parse("the caller resubmits the job to {entry}"))
def resubmit(stage: Stage, entry: str) -> None:
    stage.submit(entry, stage.jobs[-1][1]._replace(resubmission=True))


@when(parsers.parse("every job is cancelled after {delay:d} ms"))
def cancel_all(stage: Stage, delay: int) -> None:
    stage.wait_ms(delay)
    for index, (_, job) in enumerate(stage.jobs):
        stage.world.cancel(stage.world.entries[index % 2], job.submission)


@when("operators set peak at entry-0 and maintenance at entry-1 at once")
def race(stage: Stage) -> None:
    stage.world.set_preset("entry-0", "peak", 0)
    stage.world.set_preset("entry-1", "maintenance", 0)


@when("operators set peak at entry-0")
def set_peak(stage: Stage) -> None:
    stage.world.set_preset("entry-0", "peak", 0)


@when(parsers.parse("the log keeps only its last record for {time:d} ms"))
def retain_one(stage: Stage, time: int) -> None:
    stage.world.log.retention = 1
    stage.wait_ms(time)


@then(parsers.parse("the job ends {state}"))
def ends(stage: Stage, state: str) -> None:
    stage.finish()
    assert stage.last_answer().state == state


@then("no booking was started twice")
def once(stage: Stage) -> None:
    assert any(not item.idempotent for item in stage.world.history.started)
    assert non_idempotent_tasks_start_once(stage.world.history) == []


@then("every task has an outcome")
def whole(stage: Stage) -> None:
    expected = {task.id for task in stage.jobs[-1][1].tasks}
    assert {item.id for item in stage.last_answer().outcomes} == expected


@then("every caller has its own whole answer")
def all_complete(stage: Stage) -> None:
    stage.finish()
    answers = {item.token: item.answer for item in stage.world.history.answered}
    for token, job in stage.jobs:
        assert answers[token].state == "complete"
        got = [item.answer for item in answers[token].outcomes]
        assert got == [f"{job.submission}/{task.id}" for task in job.tasks]


@then("every caller has an answer")
def all_answered(stage: Stage) -> None:
    stage.finish()
    answered = {item.token for item in stage.world.history.answered}
    assert {token for token, _ in stage.jobs} <= answered


@then("nothing of the job was started")
def nothing(stage: Stage) -> None:
    assert stage.world.history.started == []


@then(parsers.parse("{agent} started nothing after it was drained"))
def none_after_drain(stage: Stage, agent: str) -> None:
    (left,) = (item for item in stage.world.history.drained)
    assert left.agent.startswith(agent)
    starts = [item for item in stage.world.history.started if item.agent == left.agent]
    assert starts
    assert all(item.at_ms <= left.at_ms for item in starts)


@then(parsers.parse("{agent} started nothing after it went on"))
def none_after_pause(stage: Stage, agent: str) -> None:
    late = [
        item
        for item in stage.world.history.started
        if item.agent.startswith(agent) and item.at_ms >= stage.went_on_ms
    ]
    assert late == []


@then("one change was accepted and one was a conflict")
def one_winner(stage: Stage) -> None:
    stage.wait_ms(100)
    outcomes = sorted(item.outcome for item in stage.world.history.preset_changes)
    assert outcomes == ["accepted", "conflict"]


@then(parsers.parse("the accepted preset is in force everywhere within {limit:d} ms"))
def everywhere(stage: Stage, limit: int) -> None:
    stage.wait_ms(limit)
    (accepted,) = (
        item
        for item in stage.world.history.preset_changes
        if item.outcome == "accepted"
    )
    presets = {node.core.state.preset for node in stage.world.nodes.values()}
    assert presets == {(accepted.version, accepted.name)}


@then("no node's preset ever reverted")
def no_revert(stage: Stage) -> None:
    assert preset_versions_never_decrease(stage.world.history) == []


@then(parsers.parse("it was answered within {limit:d} ms"))
def prompt(stage: Stage, limit: int) -> None:
    token = stage.jobs[-1][0]
    (asked,) = (item for item in stage.world.history.submitted if item.token == token)
    (told,) = (item for item in stage.world.history.answered if item.token == token)
    assert told.at_ms - asked.at_ms <= limit
