"""Tests of decoding and checking the requests of callers and operators."""

from __future__ import annotations

import json
from typing import Any

import pytest
from returns.pipeline import is_successful

from sardineferry.entry.requests import MAX_TASKS_PER_JOB
from sardineferry.entry.requests import parse_job
from sardineferry.entry.requests import parse_preset

TEAMS = {"tanjung": 10}


def make_body(**changes: Any) -> dict[str, Any]:
    task = {"id": "a", "kind": "quote", "idempotent": True}
    return {
        "submission": "key",
        "team": "tanjung",
        "deadline_ms": 1_000,
        "tasks": [task],
        **changes,
    }


def make_task(**changes: Any) -> dict[str, Any]:
    return {"id": "a", "kind": "quote", "idempotent": True, **changes}


def test_parse_job_returns_typed_job() -> None:
    text = json.dumps(make_body(wait=False, resubmission=False))
    job, wait = parse_job(text.encode(), TEAMS).unwrap()
    assert (job.submission, job.budget_ms, job.resubmission) == ("key", 1_000, False)
    assert not wait
    assert job.tasks[0].processors == 1


def test_parse_job_assumes_a_resubmission_by_default() -> None:
    job, _ = parse_job(json.dumps(make_body()).encode(), TEAMS).unwrap()
    assert job.resubmission


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{", "truncated"),
        ("[]", "object"),
        (json.dumps(make_body(team="nobody")), "$.team"),
        (json.dumps(make_body(deadline_ms=-1)), ">= 1 - at `$.deadline_ms`"),
        (json.dumps(make_body(deadline_ms=300_001)), "<= 300000 - at `$.deadline_ms`"),
        (
            json.dumps(make_body(deadline_ms="soon")),
            "`int`, got `str` - at `$.deadline_ms`",
        ),
        (json.dumps(make_body(tasks=[])), "length >= 1 - at `$.tasks`"),
        (
            json.dumps(
                make_body(
                    tasks=[make_task(id=f"t{i}") for i in range(MAX_TASKS_PER_JOB + 1)]
                )
            ),
            f"length <= {MAX_TASKS_PER_JOB} - at `$.tasks`",
        ),
        (json.dumps(make_body(tasks=[make_task(), make_task()])), "$.tasks[1].id"),
        (
            json.dumps(make_body(tasks=[make_task(processors=0)])),
            ">= 1 - at `$.tasks[0].processors`",
        ),
        (
            json.dumps(make_body(tasks=[make_task(payload="x" * 65_537)])),
            "$.tasks[0].payload",
        ),
        (json.dumps(make_body(tasks=[make_task(id="a/b")])), "$.tasks[0].id"),
        (json.dumps(make_body(submission="")), "$.submission"),
        (json.dumps({"team": "tanjung"}), "submission"),
    ],
)
def test_parse_job_names_the_invalid_field_and_its_bound(
    text: str, message: str
) -> None:
    parsed = parse_job(text.encode(), TEAMS)
    assert not is_successful(parsed)
    assert message in str(parsed.failure())


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"name": "feast", "expected_version": 0}, "$.name"),
        ({"name": "peak", "expected_version": -1}, "$.expected_version"),
        ({"name": "peak"}, "expected_version"),
    ],
)
def test_parse_preset_names_the_invalid_field(
    change: dict[str, Any], message: str
) -> None:
    parsed = parse_preset(json.dumps(change).encode())
    assert message in str(parsed.failure())
