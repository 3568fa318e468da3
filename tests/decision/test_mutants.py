"""Mutation tests of the invariants.

Each mutant replaces a function of the decision code by a faulty one. Fault
injection must then find a violation of the invariant that the mutant breaks.
"""

from __future__ import annotations

from collections.abc import Callable
from types import ModuleType
from typing import Any
from typing import NamedTuple

import pytest
from bench.virtual.fault_injection import FaultInjection
from bench.virtual.fault_injection import run_with_faults
from bench.virtual.faults import INJECTION_POINTS
from bench.virtual.invariants import INVARIANTS

from sardineferry.decision.agent import core as agent_core
from sardineferry.decision.agent import starts
from sardineferry.decision.entry import claiming
from sardineferry.decision.entry import outcomes
from sardineferry.decision.entry import presets
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry import results
from sardineferry.decision.entry import timers
from sardineferry.decision.entry.jobs import build_job_answer
from sardineferry.decision.events import Drain
from sardineferry.decision.preset import Preset


class Mutant(NamedTuple):
    """A replacement for a function of a module, and the invariant that it breaks.

    The ``faults`` are injected together, at the same injection point.
    """

    invariant: str
    module: ModuleType
    function: str
    replacement: Callable[..., Any]
    faults: tuple[str, ...]


def start_again(*_: object) -> bool:
    return False


def retry_any_task(state: Any, task: Any, agent: str, reason: str, now_ms: int) -> None:
    outcomes.forget_attempt(state, task, agent)
    if not task.is_final() and task.state in ("sent", "uncertain"):
        task.advance("retry")
        state.queue.push(task, now_ms, front=True)


def recover_without_reports(job: Any) -> bool:
    return True


def answer_twice(state: Any, job: Any, event: str, now_ms: int) -> None:
    waiters = list(job.waiters)
    original_end_job(state, job, event, now_ms)
    for waiter in waiters:
        outcomes.answer_waiter(state, waiter, build_job_answer(job))


def end_every_job_as_complete(job: Any) -> str:
    return "complete"


def find_wrong_attempt(state: Any, member: Any, attempt: Any) -> Any:
    return next(iter(member.in_flight.values()), None)


def end_started_task_as_not_run(
    state: Any, task: Any, event: str, reason: str, now_ms: int
) -> None:
    outcomes.end_task(state, task, event, reason, now_ms)


def refuse_every_expired_claim(state: Any, job: Any, now_ms: int) -> None:
    original_refuse_job(state, job, "the log does not answer", 1_000, now_ms)


def never_expire_job(*_: object) -> None:
    return


def recover_every_task_as_answered(
    state: Any, task: Any, proven: bool, now_ms: int
) -> None:
    outcomes.end_task(state, task, "answer", "", now_ms)


def ignore_drain(event: Any, state: Any, sender: str, now_ms: int) -> None:
    if not isinstance(event, Drain):
        original_handle_event(event, state, sender, now_ms)


def adopt_older_version(state: Any, preset: Any, now_ms: int) -> None:
    state.preset = Preset(max(0, preset.version - 1), preset.name)


def raise_error(*_: object) -> None:
    raise ValueError("planted")


def expire_started_tasks_as_not_run(state: Any, job: Any, now_ms: int) -> None:
    for task in list(job.tasks.values()):
        if task.is_final():
            continue
        if task.state != "waiting":
            task.advance("refuse")
        outcomes.end_task(state, task, "expire", "deadline", now_ms)


original_end_job = outcomes.end_job
original_refuse_job = outcomes.refuse_job
original_handle_event = agent_core.handle_event

MUTANTS = (
    Mutant(
        "non_idempotent_tasks_start_once",
        starts,
        "answer_repeated_start",
        start_again,
        ("cut_agent",),
    ),
    Mutant(
        "non_idempotent_tasks_start_once",
        recovery,
        "all_agents_reported",
        recover_without_reports,
        ("kill_entry", "hold_agent"),
    ),
    Mutant(
        "non_idempotent_tasks_start_once",
        results,
        "lose_attempt",
        retry_any_task,
        ("kill_agent",),
    ),
    Mutant(
        "requests_get_one_answer", outcomes, "end_job", answer_twice, ("kill_agent",)
    ),
    Mutant(
        "answers_cover_all_tasks",
        outcomes,
        "final_job_event",
        end_every_job_as_complete,
        ("kill_agent",),
    ),
    Mutant(
        "answers_cover_all_tasks",
        results,
        "find_attempt",
        find_wrong_attempt,
        ("kill_agent",),
    ),
    Mutant(
        "not_run_tasks_never_started",
        timers,
        "expire_job",
        expire_started_tasks_as_not_run,
        ("target_stalls",),
    ),
    Mutant(
        "not_run_tasks_never_started",
        claiming,
        "expire_claim",
        refuse_every_expired_claim,
        ("kill_entry_for_long", "log_down"),
    ),
    Mutant(
        "requests_answered_in_time",
        timers,
        "expire_job",
        never_expire_job,
        ("cut_agent",),
    ),
    Mutant(
        "answered_tasks_were_started",
        recovery,
        "recover_task",
        recover_every_task_as_answered,
        ("kill_entry",),
    ),
    Mutant(
        "draining_agents_get_no_starts",
        agent_core,
        "handle_event",
        ignore_drain,
        ("drain_agent",),
    ),
    Mutant(
        "preset_versions_never_decrease",
        presets,
        "adopt",
        adopt_older_version,
        ("race_presets",),
    ),
    Mutant(
        "decision_code_raises_nothing",
        results,
        "apply_result",
        raise_error,
        ("kill_agent",),
    ),
)

RUNS = [
    (point, nth, seed)
    for nth in (1, 4, 9)
    for seed in (1, 2, 3)
    for point in INJECTION_POINTS
]


def finds_violation(mutant: Mutant) -> bool:
    """Return whether a run with faults violates the mutant's invariant."""
    for point, nth, seed in RUNS:
        injections = tuple(FaultInjection(fault, point, nth) for fault in mutant.faults)
        _, violations = run_with_faults(injections, seed)
        if any(violation.startswith(mutant.invariant) for violation in violations):
            return True
    return False


@pytest.mark.parametrize(
    "mutant", MUTANTS, ids=lambda mutant: f"{mutant.invariant}-{mutant.function}"
)
def test_fault_injection_finds_mutant(
    mutant: Mutant, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(mutant.module, mutant.function, mutant.replacement)
    assert finds_violation(mutant)


def test_every_invariant_has_a_mutant() -> None:
    assert {invariant.__name__ for invariant in INVARIANTS} == {
        mutant.invariant for mutant in MUTANTS
    }
