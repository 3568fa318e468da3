"""Decodes and checks the bodies of callers' and operators' requests."""

from __future__ import annotations

from typing import Annotated
from typing import NotRequired
from typing import TypedDict

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.preset import PRESETS
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_TASKS_PER_JOB",
    "JobBody",
    "PresetBody",
    "RequestError",
    "TaskBody",
    "parse_job",
    "parse_preset",
]

MAX_TASKS_PER_JOB = 1_300
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_PAYLOAD_CHARACTERS = 65_536
MAX_BUDGET_MS = 300_000
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.:-]*\Z"

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=NAME_PATTERN)]


class RequestError(Exception):
    """A request is invalid; the text names the field and what is wrong with it."""


class TaskBody(TypedDict):
    """One task of a submitted job; ``Task`` explains the fields."""

    id: Name
    kind: Name
    idempotent: bool
    payload: NotRequired[
        Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_CHARACTERS)]
    ]
    processors: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=4096)]]
    memory_mb: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=67_108_864)]]
    accelerators: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=1024)]]
    run_ms: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=MAX_BUDGET_MS)]]


class JobBody(TypedDict):
    """A submitted job; ``deadline_ms`` is counted from its arrival."""

    submission: Name
    team: Name
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_BUDGET_MS)]
    tasks: Annotated[
        list[TaskBody], msgspec.Meta(min_length=1, max_length=MAX_TASKS_PER_JOB)
    ]
    resubmission: NotRequired[bool]
    wait: NotRequired[bool]


class PresetBody(TypedDict):
    """A change of the preset; it applies only to version ``expected_version``."""

    name: str
    expected_version: Annotated[int, msgspec.Meta(ge=0)]


job_decoder = msgspec.json.Decoder(JobBody)
preset_decoder = msgspec.json.Decoder(PresetBody)


def parse_job(
    body: bytes, teams: dict[str, int]
) -> Result[tuple[Job, bool], RequestError]:
    """Decode and check a submitted job.

    The flag in the result is true if the request waits until the job has ended.
    """
    try:
        parsed = job_decoder.decode(body)
    except msgspec.DecodeError as error:
        return Failure(RequestError(str(error)))
    if parsed["team"] not in teams:
        return Failure(RequestError(f"unknown team {parsed['team']!r} - at `$.team`"))
    duplicate_index = find_duplicate_id(parsed["tasks"])
    if duplicate_index is not None:
        reason = f"task id is used twice - at `$.tasks[{duplicate_index}].id`"
        return Failure(RequestError(reason))
    return Success((build_job(parsed), parsed.get("wait", True)))


def find_duplicate_id(tasks: list[TaskBody]) -> int | None:
    """Return the index of the first task that has the id of an earlier one."""
    seen: set[str] = set()
    for index, task in enumerate(tasks):
        if task["id"] in seen:
            return index
        seen.add(task["id"])
    return None


def build_job(body: JobBody) -> Job:
    """Convert a checked body to a job, with defaults for omitted fields."""
    tasks = tuple(
        Task(
            task["id"],
            task["kind"],
            task["idempotent"],
            task.get("payload", ""),
            task.get("processors", 1),
            task.get("memory_mb", 0),
            task.get("accelerators", 0),
            task.get("run_ms", 0),
        )
        for task in body["tasks"]
    )
    return Job(
        body["submission"],
        body["team"],
        body["deadline_ms"],
        tasks,
        body.get("resubmission", True),
    )


def parse_preset(body: bytes) -> Result[PresetBody, RequestError]:
    """Decode and check a change of the preset."""
    try:
        parsed = preset_decoder.decode(body)
    except msgspec.DecodeError as error:
        return Failure(RequestError(str(error)))
    if parsed["name"] not in PRESETS:
        reason = f"must be one of {sorted(PRESETS)} - at `$.name`"
        return Failure(RequestError(reason))
    return Success(parsed)
