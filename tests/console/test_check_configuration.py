"""Tests of the check of a configuration before it is sent."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest

from sardineferry.console.commands.check_configuration import check_configuration

if TYPE_CHECKING:
    from pathlib import Path

# Has all fields that the platform uses and entries ignore.
ROUTE: dict[str, Any] = {"Name": "pings", "Host": "meter.example", "Service": "meter"}
ROUTE |= {"PathPrefix": "/pings/", "Type": "idempotent", "AllowedRegions": ["north"]}
ROUTE |= {"RatePerS": 103, "TimeoutMs": 1_540, "TargetLatencyMs": 61, "Priority": 0}
ROUTE |= {"Attempts": 2, "SlackFactor": 1.6, "Advisor": {"DecideMs": 5}}
SERVICE: dict[str, Any] = {"Name": "meter", "HealthPath": "/health", "MaxConns": 4}
SERVICE |= {"Protocol": "http", "Tls": False, "ColdStartS": 2, "ColdPerS": 1}
SERVICE |= {"Constraints": {}, "Standby": 1}
LIMITS = {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 262_144}
LIMITS |= {"HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000}
UNKNOWN = "unknown field, which is ignored"


def make_text(*routes: dict[str, Any], **top: Any) -> str:
    rows = [{**ROUTE, **route} for route in routes or ({},)]
    base = {"Version": 7, "Routes": rows, "Services": [SERVICE], "Limits": LIMITS}
    return json.dumps({**base, **top})


def run_check(
    directory: Path, text: str, current: str | None = None, json: bool = False
) -> object:
    """Return the exit status."""
    new, in_force = directory / "new.json", directory / "current.json"
    new.write_text(text, "latin-1")
    if current is not None:
        in_force.write_text(current)
    try:
        check_configuration(new, current=in_force if current else None, json=json)
    except SystemExit as end:
        return end.code
    return 0


NEVER = "never matches:"
NO_PORT = f"{NEVER} requests are matched by the host without port"
CAPITALS = "has capitals: requests are matched by the lower-case host"
EVERY_PATH = "is empty and matches every path: '/' states the same"
NO_NAME = "Object missing required field `Name`"
SAME_ROUTE = f"{NEVER} same Host and PathPrefix as Routes[0]"
NO_SLASH = f"{NEVER} does not begin with '/'"
OVER_BODY = "16384 is over MaxBodyBytes 9"
OVER_IDLE = "3000 is over IdleTimeoutMs 9"
OTHER_HOST = {"Host": "other.example"}


def in_route(change: dict[str, Any], severity: str, finding: str) -> tuple[str, str]:
    return make_text(change), f"{severity}: Routes[0].{finding}"


def in_limits(change: dict[str, Any], severity: str, finding: str) -> tuple[str, str]:
    return make_text(Limits=change), f"{severity}: Limits.{finding}"


@pytest.mark.parametrize(
    ("text", "finding"),
    [
        ("{", "error: $: Input data was truncated"),
        ("{}", "error: $: Object missing required field `Version`"),
        (make_text({}, OTHER_HOST, {}), f"error: Routes[2]: {SAME_ROUTE}"),
        (make_text(Services=[{}]), f"error: Services[0]: {NO_NAME}"),
        (
            make_text(Services=[SERVICE | {"X": 1}]),
            f"warning: Services[0].X: {UNKNOWN}",
        ),
        (make_text(routes=[]), f"warning: routes: {UNKNOWN}"),
        in_route({"Attempts": "2"}, "error", "Attempts: Expected `int`, got `str`"),
        in_route({"Attempts": 0}, "error", "Attempts: 0 is below 1"),
        in_route({"SlackFactor": 0.9}, "error", "SlackFactor: 0.9 is below 1"),
        in_route({"Priority": -1}, "error", "Priority: -1 is below 0"),
        in_route({"TimeoutMs": 6}, "error", "TimeoutMs: 6 is under TargetLatencyMs 61"),
        in_route({"Service": "x"}, "error", "Service: 'x' is not listed in Services"),
        in_route({"Host": "meter.example:80"}, "error", f"Host: {NO_PORT}"),
        in_route({"Host": "Meter.example"}, "warning", f"Host: {CAPITALS}"),
        in_route({"PathPrefix": "p/"}, "error", f"PathPrefix: {NO_SLASH}"),
        in_route({"PathPrefix": ""}, "warning", f"PathPrefix: {EVERY_PATH}"),
        in_route({"Atempts": 2}, "warning", f"Atempts: {UNKNOWN}"),
        in_route({"Advisor": {"X": 1}}, "warning", f"Advisor.X: {UNKNOWN}"),
        in_limits({"MaxBodyBytes": 9}, "error", f"MaxHeaderBytes: {OVER_BODY}"),
        in_limits({"IdleTimeoutMs": 9}, "error", f"HeaderTimeoutMs: {OVER_IDLE}"),
        in_limits({"X": 1}, "warning", f"X: {UNKNOWN}"),
    ],
)
def test_each_fault_is_the_only_finding(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, finding: str
) -> None:
    """Guards against faults that the check misses or reports at another field."""
    assert run_check(tmp_path, text) == int(finding.startswith("error"))
    assert capsys.readouterr().out.splitlines()[:-1] == [finding]


@pytest.mark.parametrize("route", [{}, {"TimeoutMs": 0}])
def test_accepted_configuration_has_no_finding(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], route: dict[str, Any]
) -> None:
    """Guards against findings on fields of the platform and on an absent timeout."""
    assert run_check(tmp_path, make_text(route)) == 0
    assert capsys.readouterr().out == f"{tmp_path / 'new.json'}: accepted\n"


def test_text_that_entries_skip_is_an_error(tmp_path: Path) -> None:
    """Guards against a traceback on bytes that the decoder of entries skips."""
    assert run_check(tmp_path, make_text(Note="@").replace("@", "\xff")) == 1


def test_differences_from_the_version_in_force_are_listed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against differences that are missed, and against ones of mere order."""
    moved, gone = {"PathPrefix": "/moved/"}, {"PathPrefix": "/gone/"}
    current = make_text({}, gone, moved)
    routes = (moved, {"Attempts": 3}, {"Host": "new.example"})
    limits = {**LIMITS, "MaxBodyBytes": 300_000}
    assert run_check(tmp_path, make_text(*routes, Limits=limits), current, True) == 1
    report = json.loads(capsys.readouterr().out)
    assert [tuple(row.values()) for row in report["findings"]] == [
        ("error", "Version", "7 is not higher than 7, which is in force"),
        ("change", "Routes[1].Attempts", "changed from 2 to 3"),
        ("change", "Routes[2]", "added: new.example/pings/"),
        ("change", "Routes[1]", "removed: meter.example/gone/"),
        ("change", "Limits.MaxBodyBytes", "changed from 262144 to 300000"),
    ]
    assert not report["accepted"]
    assert run_check(tmp_path, make_text({"Attempts": 3}, Version=8), current) == 0


@pytest.mark.parametrize("current", [None, "", "{}"])
def test_unreadable_file_ends_with_status_2(
    tmp_path: Path, current: str | None
) -> None:
    """Guards against an unreadable file that counts as a faulty configuration."""
    file, in_force = tmp_path / "new.json", tmp_path / "current.json"
    if current is not None:
        file.write_text(make_text())
        in_force.write_text(current)
    with pytest.raises(SystemExit) as ended:
        check_configuration(file, current=in_force)
    assert ended.value.code == 2
