"""Parses what callers send and checks every bound at the edge."""

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
    "BODY_LIMIT_BYTES",
    "TASK_LIMIT",
    "JobBody",
    "PresetBody",
    "RequestError",
    "TaskBody",
    "parse_job",
    "parse_preset",
]

TASK_LIMIT = 1_300
BODY_LIMIT_BYTES = 8 * 1024 * 1024
PAYLOAD_LIMIT = 65_536
BUDGET_LIMIT_MS = 300_000
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.:-]*\Z"

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=NAME_PATTERN)]


class RequestError(Exception):
    """A request is refused at the edge; the text names field and bound."""


class TaskBody(TypedDict):
    """One task of a job; sizes in units, megabytes and milliseconds."""

    id: Name
    kind: Name
    idempotent: bool
    payload: NotRequired[Annotated[str, msgspec.Meta(max_length=PAYLOAD_LIMIT)]]
    processors: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=4096)]]
    memory_mb: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=67_108_864)]]
    accelerators: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=1024)]]
    run_ms: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=BUDGET_LIMIT_MS)]]


class JobBody(TypedDict):
    """A submission; ``deadline_ms`` is the time from its arrival."""

    submission: Name
    team: Name
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=BUDGET_LIMIT_MS)]
    tasks: Annotated[list[TaskBody], msgspec.Meta(min_length=1, max_length=TASK_LIMIT)]
    resubmission: NotRequired[bool]
    wait: NotRequired[bool]


class PresetBody(TypedDict):
    """A change of preset, naming the version that it replaces."""

    name: str
    expected_version: Annotated[int, msgspec.Meta(ge=0)]


job_decoder = msgspec.json.Decoder(JobBody)
preset_decoder = msgspec.json.Decoder(PresetBody)


def parse_job(
    body: bytes, teams: dict[str, int]
) -> Result[tuple[Job, bool], RequestError]:
    """Parse a submission; the flag says whether the caller waits."""
    try:
        parsed = job_decoder.decode(body)
    except msgspec.DecodeError as error:
        return Failure(RequestError(str(error)))
    if parsed["team"] not in teams:
        return Failure(RequestError(f"unknown team {parsed['team']!r} - at `$.team`"))
    duplicate = find_duplicate(parsed["tasks"])
    if duplicate is not None:
        reason = f"task id is used twice - at `$.tasks[{duplicate}].id`"
        return Failure(RequestError(reason))
    return Success((build_job(parsed), parsed.get("wait", True)))


def find_duplicate(tasks: list[TaskBody]) -> int | None:
    """Return the index of the first task whose id was used before."""
    seen: set[str] = set()
    for index, task in enumerate(tasks):
        if task["id"] in seen:
            return index
        seen.add(task["id"])
    return None


def build_job(body: JobBody) -> Job:
    """Build the typed job of a checked body."""
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
    """Parse a change of preset."""
    try:
        parsed = preset_decoder.decode(body)
    except msgspec.DecodeError as error:
        return Failure(RequestError(str(error)))
    if parsed["name"] not in PRESETS:
        reason = f"must be one of {sorted(PRESETS)} - at `$.name`"
        return Failure(RequestError(reason))
    return Success(parsed)
