"""Generated submissions and heartbeats, against the parser and the pure decisions.

Whatever a document of legal size says, it is accepted or refused without an exception,
the tasks that it causes are bounded, and each message that it causes can be encoded.
"""

from __future__ import annotations

import json
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis import given
from hypothesis import settings
from returns.pipeline import is_successful

from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.run_limits import MAX_STARTING_RUNS
from sardineferry.decision.burst.run_limits import MAX_TASKS_PER_JOB
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.effects import Send
from sardineferry.messages.burst import CODEC
from sardineferry.messages.burst import Resources
from sardineferry.messages.burst import StartRuns
from sardineferry.platform.callers import parse_job
from sardineferry.platform.heartbeats import parse_heartbeat
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import submit

JOB_ID = "00000000000000a1"
BOUNDARIES = (0, 1, 2, 5_000, 5_001, 2**31 - 1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64)
NUMBERS = st.one_of(
    st.sampled_from([sign * number for sign in (1, -1) for number in BOUNDARIES]),
    st.integers(-10, 10_000),
    st.integers(),
)
TEXTS = st.one_of(st.sampled_from(["", "a", "r1", "x" * 2_000]), st.text(max_size=20))
JSON_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, st.floats(allow_nan=False), TEXTS),
    lambda children: st.one_of(
        st.lists(children, max_size=3), st.dictionaries(TEXTS, children, max_size=3)
    ),
    max_leaves=5,
)
STEP_NUMBERS = ("Count", "Cpu", "MemMb", "Gpu", "EstimateMs", "AntiAffinity")
STEPS = st.fixed_dictionaries(
    {},
    optional={
        **dict.fromkeys(STEP_NUMBERS, st.one_of(NUMBERS, st.integers(0, 2_000))),
        "Requires": TEXTS,
        "DataRack": TEXTS,
        "After": st.one_of(JSON_VALUES, st.lists(NUMBERS, max_size=3)),
        "Unknown": JSON_VALUES,
    },
)
JOBS = st.fixed_dictionaries(
    {"Burstable": st.just(True)},
    optional={
        "Spec": TEXTS,
        "Steps": st.one_of(st.lists(STEPS, min_size=1, max_size=1), JSON_VALUES),
        "Times": st.one_of(st.just(0), NUMBERS),
        "Unknown": JSON_VALUES,
    },
)
HEARTBEATS = st.fixed_dictionaries(
    {
        "Service": st.just("desk"),
        "State": st.sampled_from(["ready", "draining"]),
        "Seq": NUMBERS,
        "Room": st.fixed_dictionaries(
            {},
            optional=dict.fromkeys(
                ("Cpu", "MemMb", "Gpu"), st.one_of(NUMBERS, st.integers(0, 9_000))
            ),
        ),
    },
    optional={
        "Labels": st.one_of(st.lists(TEXTS, max_size=3), JSON_VALUES),
        "ClockMs": NUMBERS,
        "ColdLeftMs": NUMBERS,
        "born": NUMBERS,
    },
)
GENERATED = settings(max_examples=300, derandomize=True, deadline=None)


def encode(document: dict[str, Any]) -> bytes:
    # Lone surrogates in generated text are written as escapes.
    return json.dumps(document).encode()


def rejected_messages(effects: list[object]) -> list[object]:
    messages = [effect.message for effect in effects if isinstance(effect, Send)]
    return CODEC.split(messages).rejected


@GENERATED
@given(document=JOBS, deadline_ms=st.sampled_from([0, 1, 1_000, 999_999_999]))
def test_any_job_is_answered_or_held_within_limits(
    document: dict[str, Any], deadline_ms: int
) -> None:
    parsed = parse_job(JOB_ID, encode(document))
    if not is_successful(parsed):
        assert parsed.failure()
        return
    entry = EntryDriver("ab", Resources(2**31 - 1, 2**31 - 1, 2**31 - 1))
    entry.handle(submit(1, parsed.unwrap())._replace(deadline_ms=deadline_ms))
    for _ in range(3):
        entry.tick(40)
    answered = [
        effect.token for effect in entry.effects if isinstance(effect, BurstReply)
    ]
    assert answered in ([], [1])
    assert bool(answered) is not bool(entry.state.jobs)
    assert entry.state.task_count <= MAX_TASKS_PER_JOB
    entry.handle(CallerLeft(1))
    assert (entry.state.task_count, entry.state.jobs) == (0, {})
    assert rejected_messages(entry.effects) == []


@GENERATED
@given(document=JOBS)
def test_any_order_of_an_accepted_job_is_started_within_limits(
    document: dict[str, Any],
) -> None:
    parsed = parse_job(JOB_ID, encode(document))
    if not is_successful(parsed):
        return
    total = Resources(2**31 - 1, 2**31 - 1, 2**31 - 1)
    entry, agent = EntryDriver("a", total), AgentDriver(total)
    entry.handle(submit(1, parsed.unwrap()))
    starts = 0
    for effect in entry.effects:
        if isinstance(effect, Send) and isinstance(effect.message, StartRuns):
            order = effect.message._replace(expires_ms=agent.now_ms + 400)
            effects = agent.handle(order)
            starts += sum(isinstance(found, StartRun) for found in effects)
    assert starts <= MAX_STARTING_RUNS
    assert rejected_messages(agent.effects) == []


@GENERATED
@given(document=HEARTBEATS)
def test_any_heartbeat_is_ignored_or_sent_on(document: dict[str, Any]) -> None:
    parsed = parse_heartbeat("w", encode(document))
    if not is_successful(parsed):
        assert parsed.failure()
        return
    agent = AgentDriver()
    agent.handle(parsed.unwrap()._replace(worker_id="w", born_ms=1))
    agent.link("10.0.0.2:7000", "f")
    agent.tick(100)
    agent.handle(parsed.unwrap())
    agent.tick(1_000)
    assert rejected_messages(agent.effects) == []


@GENERATED
@given(body=st.binary(max_size=200))
@pytest.mark.parametrize("parse", [parse_job, parse_heartbeat])
def test_any_bytes_are_refused_or_decoded(parse: Any, body: bytes) -> None:
    for text in (body, b'{"Steps":' + body, b'{"Steps":[{' + body + b"}]}"):
        assert is_successful(parse(JOB_ID, text)) in (True, False)
