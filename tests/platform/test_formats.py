"""Tests that the platform's formats are decoded and invalid data is rejected."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
import yaml
from returns.pipeline import is_successful

from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.messages.burst import Resources
from sardineferry.platform.callers import parse_deadline_ms
from sardineferry.platform.callers import parse_job
from sardineferry.platform.configuration import decode_configuration
from sardineferry.platform.heartbeats import parse_heartbeat
from sardineferry.platform.settings import load_deployment_settings
from sardineferry.platform.store import keyed_record
from sardineferry.platform.store import parse_page
from sardineferry.platform.store import parse_records
from sardineferry.platform.worker import decode_lists
from sardineferry.platform.worker import to_start_answer

if TYPE_CHECKING:
    from pathlib import Path

JOB_ID = "5c0e7a21d94b36f8"
STEP = {"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900}
HEARTBEAT = {
    "Service": "s",
    "Address": "10.0.0.9:8080",
    "State": "ready",
    "Room": {"Cpu": 16_000, "MemMb": 32_768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "ClockMs": 482_113,
    "Seq": 4,
    "born": 1_700_000_000_000,
    "SomethingNew": [1],
}
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r",
            "Host": "Nony24.example",
            "PathPrefix": "/lohu930/",
            "Type": "non_idempotent",
            "TimeoutMs": 1_500,
            "TargetLatencyMs": 60,
            "Priority": 0,
            "Service": "s",
            "Attempts": 2,
            "SlackFactor": 1.6,
        }
    ],
    "Services": [],
    "Limits": {"MaxHeaderBytes": 1, "MaxBodyBytes": 2},
}
SETTINGS = {
    "NodeName": "edge-1",
    "Ip": "10.1.0.13",
    "Zone": "gresik",
    "Listen": {"Front": "10.1.0.13:8161", "Ready": "10.1.0.13:8167"},
    "PortRange": [7_720, 7_735],
    "Seeds": ["10.1.0.13:8166", "10.2.0.30:8166"],
    "Bounds": {"GraceS": 6},
    "platform": {"Address": "10.200.1.7:8169"},
    "New": {"Field": 1},
}


def test_job_is_decoded() -> None:
    body = json.dumps({"Spec": "x", "Steps": [STEP], "Burstable": True}).encode()
    job = parse_job(JOB_ID, body).unwrap()
    assert job.steps[0].need == Resources(500, 256, 0)
    assert (job.steps[0].tasks, job.steps[0].estimate_ms, job.unsupported) == (
        4,
        900,
        "",
    )


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"Burstable": False}, "jobs that are kept"),
        ({"Steps": [STEP, STEP]}, "several steps"),
        ({"Times": 2}, "scheduled jobs"),
        ({"Daemon": True}, "tasks that last"),
        ({"Steps": [{**STEP, "Daemon": True}]}, "tasks that last"),
        ({"Steps": [{**STEP, "Gang": True}]}, "gangs"),
        ({"Steps": [{**STEP, "SameRack": True}]}, "one rack for all tasks"),
        ({"Steps": [{**STEP, "Utilization": True}]}, "best-effort tasks"),
        ({"Steps": [{**STEP, "TargetMs": 5}]}, "latency targets of tasks"),
        ({"Steps": [STEP] * 1_000}, "several steps"),
        ({"Steps": [{}] * 1_001}, "more than 1000 steps"),
    ],
)
def test_unsupported_feature_is_named(fields: dict[str, Any], reason: str) -> None:
    row = {"Spec": "x", "Steps": [STEP], "Burstable": True, **fields}
    job = parse_job(JOB_ID, json.dumps(row).encode()).unwrap()
    assert job.unsupported == reason


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b'{"Steps":[]}',
        b'{"Steps":[{"Count":"four"}]}',
        b'{"Steps":[{"Count":0}]}',
        b'{"Steps":[{"Cpu":-1}]}',
        b'{"Spec":1,"Steps":[{}]}',
        b'{"Steps":' + b"[" * 100_000,
        json.dumps({"Steps": [{**STEP, "Requires": "x" * 1_025}]}).encode(),
        json.dumps({"Steps": [{**STEP, "DataRack": "x" * 1_025}]}).encode(),
        json.dumps({"Steps": [1] * 50_000}).encode(),
        json.dumps({"Spec": "x" * 4_001, "Steps": [STEP]}).encode(),
    ],
)
def test_invalid_job_is_rejected(body: bytes) -> None:
    assert not is_successful(parse_job(JOB_ID, body))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (field, value)
        for field in ("Count", "Cpu", "MemMb", "Gpu", "EstimateMs", "AntiAffinity")
        for value in (-1, 2**31, 2**53 + 1, 2**63, 2**64, 10**30)
    ],
)
def test_number_out_of_range_is_rejected_with_its_field(field: str, value: int) -> None:
    body = json.dumps({"Steps": [{**STEP, field: value}]}).encode()
    reason = parse_job(JOB_ID, body).failure()
    assert reason.endswith(f": {value} - at `$.Steps[0].{field}`")


@pytest.mark.parametrize(
    ("headers", "deadline_ms"),
    [
        ({"deadline-ms": "2553"}, 2_553),
        ({}, 0),
        ({"deadline-ms": ""}, 0),
        ({"deadline-ms": "-1"}, 0),
        ({"deadline-ms": "soon"}, 0),
        ({"deadline-ms": "9" * 5_000}, 0),
    ],
)
def test_deadline_of_a_caller_is_decoded(
    headers: dict[str, str], deadline_ms: int
) -> None:
    assert parse_deadline_ms(headers) == deadline_ms


def test_heartbeat_is_decoded() -> None:
    seen = parse_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).unwrap()
    assert seen.total == Resources(16_000, 32_768, 0)
    assert (seen.labels, seen.draining, seen.sequence) == (("a", "r1-3"), False, 4)


@pytest.mark.parametrize(
    ("fields", "cold_left_ms"),
    [({}, 0), ({"ColdLeftMs": 1_250}, 1_250), ({"ColdLeftMs": -1}, 0)],
)
def test_cold_time_of_a_heartbeat_is_decoded(
    fields: dict[str, int], cold_left_ms: int
) -> None:
    """Guards against workers that are placed as warm while they are slow."""
    body = json.dumps({**HEARTBEAT, **fields}).encode()
    assert parse_heartbeat("i-1", body).unwrap().cold_left_ms == cold_left_ms


@pytest.mark.parametrize(
    "change",
    [
        {"State": "sleeping"},
        {"State": 1},
        {"Service": None},
        {"Seq": "4"},
        {"Room": None},
        {"Room": {"Cpu": "much"}},
        {"Room": {"Cpu": -1}},
        {"Labels": "a"},
        {"born": "yesterday"},
        {"born": 2**63},
        {"Seq": 10**30},
        {"ClockMs": 2**64},
        {"ColdLeftMs": -(2**63) - 1},
        {"Room": {"Cpu": 2**31}},
        {"Labels": ["x" * 1_025]},
        {"Labels": ["x"] * 5_000},
        {"Service": "x" * 1_025},
    ],
)
def test_heartbeat_with_an_invalid_field_is_rejected(change: dict[str, Any]) -> None:
    body = json.dumps({**HEARTBEAT, **change}).encode()
    assert not is_successful(parse_heartbeat("i-1", body))


@pytest.mark.parametrize("body", [b"", b"\xff", b"[1]", b"{}", b'{"Service":"s"}'])
def test_undecodable_heartbeat_is_rejected(body: bytes) -> None:
    assert not is_successful(parse_heartbeat("i-1", body))


def test_configuration_is_decoded() -> None:
    found = decode_configuration(json.dumps(CONFIG).encode()).unwrap()
    route = found.routes[0]
    assert (found.version, route.host, route.goal_ms) == (7, "nony24.example", 60)
    assert (route.attempts, route.slack_factor) == (2, 1.6)
    assert (found.limits.header_bytes, found.limits.body_bytes) == (1, 2)


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"\xff",
        b"[]",
        b"{}",
        b'{"Version":"7"}',
        b'{"Version":7,"Routes":{}}',
        b'{"Version":7,"Routes":[{"Host":"h"}]}',
        b'{"Version":9223372036854775808}',
        b'{"Version":7,"Limits":{"MaxBodyBytes":4294967296}}',
    ],
)
def test_invalid_configuration_is_rejected(text: bytes) -> None:
    assert not is_successful(decode_configuration(text))


@pytest.mark.parametrize("text", [yaml.safe_dump(SETTINGS), json.dumps(SETTINGS)])
def test_settings_are_decoded(tmp_path: Path, text: str) -> None:
    path = tmp_path / "local.yaml"
    path.write_text(text)
    found = load_deployment_settings(path).unwrap()
    assert found.links == "10.1.0.13:7720"
    assert found.entry_links == ("10.1.0.13:7720", "10.2.0.30:7720")
    assert (found.grace_ms, found.worker) == (6_000, "")


@pytest.mark.parametrize(
    ("bounds", "factor"),
    [({"GraceS": 6}, 1.0), ({"RemoteFactor": 3}, 3.0), ({"RemoteFactor": 0}, 1.0)],
)
def test_remote_factor_is_at_least_1(
    tmp_path: Path, bounds: dict[str, float], factor: float
) -> None:
    path = tmp_path / "local.yaml"
    path.write_text(json.dumps({**SETTINGS, "Bounds": bounds}))
    assert load_deployment_settings(path).unwrap().remote_factor == factor


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("[", "$"),
        ("- a", "$"),
        ("", "$"),
        (yaml.safe_dump({**SETTINGS, "Ip": 7}), "$.Ip"),
        (yaml.safe_dump({**SETTINGS, "PortRange": "7720"}), "$.PortRange"),
        (yaml.safe_dump({**SETTINGS, "Seeds": [1]}), "$.Seeds[0]"),
        (yaml.safe_dump({**SETTINGS, "platform": {}}), "$.platform"),
    ],
)
def test_settings_error_names_the_field(tmp_path: Path, text: str, path: str) -> None:
    file = tmp_path / "local.yaml"
    file.write_text(text)
    errors = load_deployment_settings(file).failure()
    assert [error.path for error in errors] == [path]


def test_missing_settings_file_is_an_error(tmp_path: Path) -> None:
    errors = load_deployment_settings(tmp_path / "none.yaml").failure()
    assert "cannot read" in errors[0].reason


@pytest.mark.parametrize(
    ("body", "records"),
    [
        (bytes(16), ()),
        (bytes(16) + b"\0\0\0\2ab\0\0\0\0", (b"ab", b"")),
    ],
)
def test_records_are_decoded(body: bytes, records: tuple[bytes, ...]) -> None:
    assert parse_records(0, body).unwrap().records == records


@pytest.mark.parametrize(
    "body", [b"", bytes(15), bytes(16) + b"\0\0", bytes(16) + b"\0\0\0\5ab"]
)
def test_truncated_records_are_rejected(body: bytes) -> None:
    assert not is_successful(parse_records(0, body))


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"items":[{"Key":"k","Value":"!"}]}', b'{"items":[1]}']
)
def test_invalid_page_is_rejected(body: bytes) -> None:
    assert not is_successful(parse_page(body))


@pytest.mark.parametrize(
    ("key", "value", "record"), [("ab", b"c", b"\x02abc"), ("k", b"", b"\x01k")]
)
def test_keyed_record_is_encoded(key: str, value: bytes, record: bytes) -> None:
    assert keyed_record(key, value) == record


def test_key_over_the_length_limit_is_rejected() -> None:
    with pytest.raises(ValueError, match="at most 255"):
        keyed_record("k" * 256, b"")


@pytest.mark.parametrize(
    ("status", "reason", "answer"),
    [
        (0, "", StartAnswer.UNANSWERED),
        (200, "", StartAnswer.STARTED),
        (409, "fence", StartAnswer.FENCED),
        (409, "old", StartAnswer.SUPERSEDED),
        (409, "late", StartAnswer.LATE),
        (409, "room", StartAnswer.NO_ROOM),
        (409, "unheard of", StartAnswer.REJECTED),
        (421, "", StartAnswer.OTHER_INCARNATION),
        (429, "", StartAnswer.REJECTED),
        (503, "", StartAnswer.REJECTED),
        (400, "", StartAnswer.REJECTED),
        # The worker may have started the run before it failed.
        (500, "", StartAnswer.UNANSWERED),
        (502, "", StartAnswer.UNANSWERED),
        (504, "", StartAnswer.UNANSWERED),
        (202, "", StartAnswer.UNANSWERED),
        (307, "", StartAnswer.UNANSWERED),
    ],
)
def test_start_answer_follows_status_and_reason(
    status: int, reason: str, answer: StartAnswer
) -> None:
    assert to_start_answer(status, reason) is answer


@pytest.mark.parametrize("status", [201, 204, 302, 404, 408, 413, 500, 502, 504])
def test_start_that_may_have_been_carried_out_is_not_called_rejected(
    status: int,
) -> None:
    """Only a few statuses say that the worker has done nothing."""
    assert to_start_answer(status, "") is StartAnswer.UNANSWERED


def test_lists_are_decoded() -> None:
    body = {
        "ClockMs": 5,
        "born": 9,
        "Running": [["t", 2, "", 41, 500]],
        "Finished": [
            [1, "u", 1, "done", ""],
            [2, "v", 1, "failed", ""],
            [3, "w", 1, "lapsed", ""],
        ],
    }
    found = decode_lists(json.dumps(body).encode(), 0)
    assert [(item.run.task, item.percent) for item in found.present] == [("t", 41)]
    assert [end.how for end in found.ends] == ["done", "failed", "lost"]
    assert (found.clock_ms, found.born_ms) == (5, 9)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'{"Running":[[]],"Finished":[]}',
        b'{"Running":[],"Finished":[["x"]]}',
        b'{"Running":[["t","two","",1]],"Finished":[]}',
    ],
)
def test_undecodable_lists_count_as_no_answer(body: bytes) -> None:
    assert not decode_lists(body, 0).answered
