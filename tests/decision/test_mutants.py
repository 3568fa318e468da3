"""One planted defect per law, to show that the matrix catches it."""

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
    """A function replaced in a module, and the law that must notice.

    ``faults`` strike together, at the same step.
    """

    law: str
    module: ModuleType
    function: str
    replacement: Callable[..., Any]
    faults: tuple[str, ...]


def forget_start_table(*_: object) -> bool:
    return False


def retry_anything(state: Any, task: Any, agent: str, reason: str, now_ms: int) -> None:
    outcomes.forget_attempt(state, task, agent)
    if not task.is_final() and task.state in ("sent", "uncertain"):
        task.advance("retry")
        state.queue.push(task, now_ms, front=True)


def skip_recovery(entry: Any) -> bool:
    return True


def answer_twice(state: Any, entry: Any, event: str, now_ms: int) -> None:
    waiters = list(entry.waiters)
    real_end_job(state, entry, event, now_ms)
    for waiter in waiters:
        outcomes.answer_waiter(state, waiter, build_job_answer(entry))


def call_all_complete(entry: Any) -> str:
    return "complete"


def cross_answers(state: Any, member: Any, attempt: Any) -> Any:
    return next(iter(member.in_flight.values()), None)


def call_started_not_run(
    state: Any, task: Any, event: str, reason: str, now_ms: int
) -> None:
    outcomes.end_task(state, task, event, reason, now_ms)


def refuse_always(state: Any, entry: Any, now_ms: int) -> None:
    real_refuse_job(state, entry, "the log does not answer", 1_000, now_ms)


def never_expire(*_: object) -> None:
    return


def invent_answers(state: Any, task: Any, proven: bool, now_ms: int) -> None:
    outcomes.end_task(state, task, "answer", "", now_ms)


def ignore_drain(event: Any, state: Any, sender: str, now_ms: int) -> None:
    if not isinstance(event, Drain):
        real_handle_event(event, state, sender, now_ms)


def adopt_any(state: Any, preset: Any, now_ms: int) -> None:
    state.preset = Preset(max(0, preset.version - 1), preset.name)


def fail_rule(*_: object) -> None:
    raise ValueError("planted")


def expire_as_not_run(state: Any, entry: Any, now_ms: int) -> None:
    for task in list(entry.tasks.values()):
        if task.is_final():
            continue
        if task.state != "waiting":
            task.advance("refuse")
        outcomes.end_task(state, task, "expire", "deadline", now_ms)


real_end_job = outcomes.end_job
real_refuse_job = outcomes.refuse_job
real_handle_event = agent_core.handle_event

MUTANTS = (
    Mutant(
        "non_idempotent_tasks_start_once",
        starts,
        "answer_repeated_start",
        forget_start_table,
        ("cut_agent",),
    ),
    Mutant(
        "non_idempotent_tasks_start_once",
        recovery,
        "all_agents_reported",
        skip_recovery,
        ("kill_entry", "hold_agent"),
    ),
    Mutant(
        "non_idempotent_tasks_start_once",
        results,
        "lose_attempt",
        retry_anything,
        ("kill_agent",),
    ),
    Mutant("answered_once", outcomes, "end_job", answer_twice, ("kill_agent",)),
    Mutant(
        "answered_whole",
        outcomes,
        "final_job_event",
        call_all_complete,
        ("kill_agent",),
    ),
    Mutant("answered_whole", results, "find_attempt", cross_answers, ("kill_agent",)),
    Mutant(
        "not_run_is_true",
        timers,
        "expire_job",
        expire_as_not_run,
        ("target_stalls",),
    ),
    Mutant(
        "not_run_is_true",
        claiming,
        "expire_claim",
        refuse_always,
        ("kill_entry_for_long", "log_down"),
    ),
    Mutant("answered_in_time", timers, "expire_job", never_expire, ("cut_agent",)),
    Mutant(
        "answers_have_starts", recovery, "recover_task", invent_answers, ("kill_entry",)
    ),
    Mutant(
        "leaving_gets_nothing",
        agent_core,
        "handle_event",
        ignore_drain,
        ("drain_agent",),
    ),
    Mutant(
        "preset_versions_never_decrease", presets, "adopt", adopt_any, ("race_presets",)
    ),
    Mutant("rules_do_not_fail", results, "apply_result", fail_rule, ("kill_agent",)),
)

TRIES = [
    (step, nth, seed)
    for nth in (1, 4, 9)
    for seed in (1, 2, 3)
    for step in INJECTION_POINTS
]


def catches(mutant: Mutant) -> bool:
    """Tell whether a cell of the matrix shows a violation of the law."""
    for step, nth, seed in TRIES:
        strikes = tuple(FaultInjection(fault, step, nth) for fault in mutant.faults)
        _, violations = run_with_faults(strikes, seed)
        if any(item.startswith(mutant.law) for item in violations):
            return True
    return False


@pytest.mark.parametrize(
    "mutant", MUTANTS, ids=lambda mutant: f"{mutant.law}-{mutant.function}"
)
def test_matrix_catches_planted_defect(
    mutant: Mutant, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(mutant.module, mutant.function, mutant.replacement)
    assert catches(mutant)


def test_laws_cover_every_mutant() -> None:
    assert {law.__name__ for law in INVARIANTS} == {mutant.law for mutant in MUTANTS}
