"""Steps of the scenarios in ``guarantees.feature``.

The decision cores run in a simulation under virtual time.
"""

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

scenarios("guarantees.feature")

JOB_BUDGET_MS = 8_000
# Each job is answered within this time after the last step.
SETTLE_MS = 20_000
PRESET_REPUBLISH_MS = 60_000
# Agents are linked to entries within this time after the start.
LINKED_AFTER_MS = 500


class ScenarioContext:
    """A simulated deployment and the jobs submitted to it, in order."""

    def __init__(self, entries: int, agents: int) -> None:
        policy = EntryPolicy({"team": 1_000}, republish_ms=PRESET_REPUBLISH_MS)
        config = SimulationConfig(entries, (1.0,) * agents, entry_policy=policy)
        self.simulation = Simulation(config)
        self.jobs: list[tuple[int, Job]] = []
        self.resumed_ms = 0.0
        self.simulation.run_until_ms(LINKED_AFTER_MS)

    def submit(self, entry: str, job: Job) -> None:
        self.jobs.append((self.simulation.submit(entry, job), job))

    def advance_ms(self, duration_ms: float) -> None:
        self.simulation.run_until_ms(
            self.simulation.schedule.now_us / 1_000 + duration_ms
        )

    def last_answer(self) -> JobAnswer:
        token = self.jobs[-1][0]
        answers = [
            item.answer
            for item in self.simulation.history.answered
            if item.token == token
        ]
        assert len(answers) == 1
        return answers[0]

    def finish(self) -> None:
        """Let all jobs end, then check the recorded history."""
        self.advance_ms(SETTLE_MS)
        assert find_violations(self.simulation.history) == []


@given(
    parsers.parse("{entries:d} entries and {agents:d} agents"), target_fixture="context"
)
def create_context(entries: int, agents: int) -> ScenarioContext:
    return ScenarioContext(entries, agents)


@given(parsers.parse("the log's answers to the next {appends:d} appends are lost"))
def lose_append_answers(context: ScenarioContext, appends: int) -> None:
    context.simulation.log.lose_answers = appends


@given("the log is down")
@when("the log goes down")
def take_log_down(context: ScenarioContext) -> None:
    context.simulation.log.down = True


@given(parsers.parse("{agent} is paused"))
def pause_agent(context: ScenarioContext, agent: str) -> None:
    context.simulation.pause(agent)


@given(parsers.parse("every task at {agent} takes {extra_ms:d} ms longer"))
def delay_tasks(context: ScenarioContext, agent: str, extra_ms: int) -> None:
    context.simulation.nodes[agent].target.stall_ms = extra_ms


@given(parsers.parse("every task at {agent} fails"))
def fail_tasks(context: ScenarioContext, agent: str) -> None:
    context.simulation.nodes[agent].target.failing = True


@given(parsers.parse("every call to the log takes {extra_ms:d} ms longer"))
def delay_log_calls(context: ScenarioContext, extra_ms: int) -> None:
    context.simulation.log.slow_ms = extra_ms


@given(parsers.parse("tasks take {factor:d} times as long as declared"))
def slow_down_all_targets(context: ScenarioContext, factor: int) -> None:
    for agent in context.simulation.agents:
        context.simulation.nodes[agent].target.slowness = float(factor)


@when(
    parsers.parse(
        "{duration_ms:d} ms pass with the ordinary preset "
        "and a budget for hedged starts"
    )
)
def advance_with_hedge_budget(context: ScenarioContext, duration_ms: int) -> None:
    for entry in context.simulation.entries:
        state = context.simulation.entry_state(entry)
        assert state.preset.name == "ordinary"
        state.hedge_budget.tokens = 10.0
    context.advance_ms(duration_ms)


@when(parsers.parse("a caller submits a booking job of {tasks:d} tasks to {entry}"))
def submit_booking_job(context: ScenarioContext, tasks: int, entry: str) -> None:
    context.submit(entry, make_mixed_job("job", tasks, JOB_BUDGET_MS))


@when(parsers.parse("a caller submits a quote job of {count:d} tasks to {entry}"))
def submit_quote_job(context: ScenarioContext, count: int, entry: str) -> None:
    tasks = tuple(Task(f"t{i}", "quote", True, "", run_ms=80) for i in range(count))
    context.submit(entry, Job("job", "team", JOB_BUDGET_MS, tasks, resubmission=False))


@when(parsers.parse("a caller submits a job that needs an accelerator to {entry}"))
def submit_accelerator_job(context: ScenarioContext, entry: str) -> None:
    tasks = (Task("t", "quote", True, "", accelerators=1),)
    context.submit(entry, Job("job", "team", JOB_BUDGET_MS, tasks))


@when(parsers.parse("{callers:d} callers submit jobs of {tasks:d} tasks concurrently"))
def submit_jobs_concurrently(
    context: ScenarioContext, callers: int, tasks: int
) -> None:
    for index in range(callers):
        entry = context.simulation.entries[index % 2]
        context.submit(entry, make_mixed_job(f"job-{index}", tasks, JOB_BUDGET_MS))


@when(
    parsers.parse(
        "the link between {node} and {peer} is cut after {delay_ms:d} ms "
        "for {duration_ms:d} ms"
    )
)
def cut_link(
    context: ScenarioContext, node: str, peer: str, delay_ms: int, duration_ms: int
) -> None:
    context.advance_ms(delay_ms)
    context.simulation.partition(node, peer)
    context.advance_ms(duration_ms)
    context.simulation.heal()


@when(
    parsers.parse(
        "messages between {node} and {peer} are held up after {delay_ms:d} ms "
        "for {duration_ms:d} ms"
    )
)
def hold_up_messages(
    context: ScenarioContext, node: str, peer: str, delay_ms: int, duration_ms: int
) -> None:
    context.advance_ms(delay_ms)
    context.simulation.delay_messages(node, peer)
    context.advance_ms(duration_ms)
    context.simulation.heal()


@when(parsers.parse("{node} is killed after {delay_ms:d} ms"))
def kill_node(context: ScenarioContext, node: str, delay_ms: int) -> None:
    context.advance_ms(delay_ms)
    context.simulation.kill(node)


@when(parsers.parse("{node} is drained after {delay_ms:d} ms"))
def drain_node(context: ScenarioContext, node: str, delay_ms: int) -> None:
    context.advance_ms(delay_ms)
    context.simulation.drain(node)


@when(parsers.parse("{node} is restarted"))
def restart_node(context: ScenarioContext, node: str) -> None:
    context.simulation.restart(node)


@when(parsers.parse("{agent} resumes after {delay_ms:d} ms"))
def resume_agent(context: ScenarioContext, agent: str, delay_ms: int) -> None:
    context.advance_ms(delay_ms)
    context.resumed_ms = context.simulation.schedule.now_us / 1_000
    context.simulation.resume(agent)


@when(parsers.parse("the caller resubmits the job to {entry}"))
def resubmit_job(context: ScenarioContext, entry: str) -> None:
    context.submit(entry, context.jobs[-1][1]._replace(resubmission=True))


@when(parsers.parse("every job is cancelled after {delay_ms:d} ms"))
def cancel_all_jobs(context: ScenarioContext, delay_ms: int) -> None:
    context.advance_ms(delay_ms)
    for index, (_, job) in enumerate(context.jobs):
        context.simulation.cancel(context.simulation.entries[index % 2], job.submission)


@when("operators set the preset to peak at entry-0 and to maintenance at entry-1")
def set_presets_concurrently(context: ScenarioContext) -> None:
    context.simulation.set_preset("entry-0", "peak", 0)
    context.simulation.set_preset("entry-1", "maintenance", 0)


@when("an operator sets the preset to peak at entry-0")
def set_peak_preset(context: ScenarioContext) -> None:
    context.simulation.set_preset("entry-0", "peak", 0)


@when(parsers.parse("the log retains only its last record for {duration_ms:d} ms"))
def retain_only_last_record(context: ScenarioContext, duration_ms: int) -> None:
    context.simulation.log.retention = 1
    context.advance_ms(duration_ms)


@then(parsers.parse("the job ends in state {state}"))
def check_job_state(context: ScenarioContext, state: str) -> None:
    context.finish()
    assert context.last_answer().state == state


@then("no booking was started twice")
def check_bookings_started_once(context: ScenarioContext) -> None:
    assert any(not item.idempotent for item in context.simulation.history.started)
    assert non_idempotent_tasks_start_once(context.simulation.history) == []


@then("every task has an outcome")
def check_all_tasks_have_outcomes(context: ScenarioContext) -> None:
    expected = {task.id for task in context.jobs[-1][1].tasks}
    assert {item.id for item in context.last_answer().outcomes} == expected


@then("every caller receives the complete answer to its own job")
def check_complete_answers(context: ScenarioContext) -> None:
    context.finish()
    answers = {item.token: item.answer for item in context.simulation.history.answered}
    for token, job in context.jobs:
        assert answers[token].state == "complete"
        task_answers = [item.answer for item in answers[token].outcomes]
        assert task_answers == [f"{job.submission}/{task.id}" for task in job.tasks]


@then("every caller receives an answer")
def check_all_answered(context: ScenarioContext) -> None:
    context.finish()
    answered = {item.token for item in context.simulation.history.answered}
    assert {token for token, _ in context.jobs} <= answered


@then("no task was started")
def check_no_task_started(context: ScenarioContext) -> None:
    assert context.simulation.history.started == []


@then(parsers.parse("{agent} started no task after it was drained"))
def check_no_start_after_drain(context: ScenarioContext, agent: str) -> None:
    (drained,) = context.simulation.history.drained
    assert drained.agent.startswith(agent)
    starts = [
        item
        for item in context.simulation.history.started
        if item.agent == drained.agent
    ]
    assert starts
    assert all(item.at_ms <= drained.at_ms for item in starts)


@then(parsers.parse("{agent} started no task after it resumed"))
def check_no_start_after_resume(context: ScenarioContext, agent: str) -> None:
    late = [
        item
        for item in context.simulation.history.started
        if item.agent.startswith(agent) and item.at_ms >= context.resumed_ms
    ]
    assert late == []


@then("one preset change was accepted and the other was answered conflict")
def check_one_change_accepted(context: ScenarioContext) -> None:
    context.advance_ms(100)
    outcomes = sorted(
        item.outcome for item in context.simulation.history.preset_changes
    )
    assert outcomes == ["accepted", "conflict"]


@then(
    parsers.parse(
        "the accepted preset is in force at all entries and agents "
        "within {limit_ms:d} ms"
    )
)
def check_accepted_preset_in_force(context: ScenarioContext, limit_ms: int) -> None:
    context.advance_ms(limit_ms)
    (accepted,) = (
        item
        for item in context.simulation.history.preset_changes
        if item.outcome == "accepted"
    )
    presets = {node.core.state.preset for node in context.simulation.nodes.values()}
    assert presets == {(accepted.version, accepted.name)}


@then("no entry or agent ever returned to an earlier preset")
def check_no_preset_reverted(context: ScenarioContext) -> None:
    assert preset_versions_never_decrease(context.simulation.history) == []


@then(parsers.parse("the job was answered within {limit_ms:d} ms"))
def check_answered_within(context: ScenarioContext, limit_ms: int) -> None:
    token = context.jobs[-1][0]
    (submitted,) = (
        item for item in context.simulation.history.submitted if item.token == token
    )
    (answered,) = (
        item for item in context.simulation.history.answered if item.token == token
    )
    assert answered.at_ms - submitted.at_ms <= limit_ms
