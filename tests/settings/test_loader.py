"""Tests of loading and checking settings files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from returns.pipeline import is_successful

from sardineferry.settings import check_settings
from sardineferry.settings import load_agent_settings
from sardineferry.settings import load_entry_settings

ENTRY: dict[str, Any] = {
    "role": "entry",
    "name": "entry-0",
    "data_centre": "gresik",
    "listen": "127.0.0.1:7000",
    "http": "127.0.0.1:8000",
    "log": "127.0.0.1:9000",
    "teams": {"tanjung": 100},
}
AGENT: dict[str, Any] = {
    "role": "agent",
    "name": "agent-0",
    "data_centre": "gresik",
    "target": "127.0.0.1:7100",
    "entries": ["127.0.0.1:7000"],
    "shape": {"kind": "minion", "slots": 8},
}
EXAMPLES = sorted(Path("examples").glob("*.json"))


def write_settings(folder: Path, document: object) -> Path:
    path = folder / "settings.json"
    path.write_text(json.dumps(document))
    return path


def test_load_settings_returns_typed_settings(tmp_path: Path) -> None:
    entry = load_entry_settings(write_settings(tmp_path, ENTRY)).unwrap()
    assert (entry.name, entry.teams, entry.peers) == ("entry-0", {"tanjung": 100}, ())
    agent = load_agent_settings(write_settings(tmp_path, AGENT)).unwrap()
    assert agent.entries == ("127.0.0.1:7000",)
    assert agent.shape.slots == 8


@pytest.mark.parametrize(
    ("document", "paths"),
    [
        ([], ["$"]),
        ({"role": "cook"}, ["$.role"]),
        (
            {**ENTRY, "http_threads": 1, "listen": "here"},
            ["$.http_threads", "$.listen"],
        ),
        ({**ENTRY, "teams": {"a": 0, "b": -1}}, ["$.teams.a", "$.teams.b"]),
        ({**ENTRY, "colour": "red"}, ["$"]),
        ({**AGENT, "shape": {"kind": "minion"}}, ["$.shape"]),
        (
            {**AGENT, "shape": {"kind": "worker", "processors": 0}},
            ["$.shape", "$.shape.processors"],
        ),
        ({**AGENT, "entries": []}, ["$.entries"]),
    ],
)
def test_check_settings_lists_every_error_by_path(
    tmp_path: Path, document: object, paths: list[str]
) -> None:
    errors = check_settings(write_settings(tmp_path, document)).failure()
    assert [error.path for error in errors] == paths


def test_check_settings_rejects_unreadable_files(tmp_path: Path) -> None:
    assert "cannot read" in check_settings(tmp_path / "none").failure()[0].reason
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    assert "not JSON" in check_settings(broken).failure()[0].reason


def test_load_settings_rejects_other_role(tmp_path: Path) -> None:
    errors = load_entry_settings(write_settings(tmp_path, AGENT)).failure()
    assert errors[0].path == "$.role"


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_are_valid(path: Path) -> None:
    assert is_successful(check_settings(path))


def test_each_organisation_has_examples() -> None:
    names = {path.stem for path in EXAMPLES}
    assert {
        "tanjung-entry",
        "tanjung-agent",
        "svidetel-entry",
        "svidetel-agent",
    } <= names
