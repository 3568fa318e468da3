"""Tests of which change of the preset comes into force."""

from __future__ import annotations

import msgspec
import pytest

from sardineferry.decision.events import LogRecord
from sardineferry.decision.preset import Preset
from sardineferry.decision.preset import PresetRecord
from sardineferry.decision.preset import apply_preset_record

INITIAL_PRESET = Preset(0, "ordinary")


def record(name: str, version: int, republished: bool = False) -> LogRecord:
    body = PresetRecord(name, version, "entry", republished)
    return LogRecord(0, f"{name}{version}", msgspec.json.encode(body).decode())


@pytest.mark.parametrize(
    ("records", "first_offset", "expected"),
    [
        ([record("peak", 1)], 0, Preset(1, "peak")),
        ([record("peak", 1), record("maintenance", 1)], 0, Preset(1, "peak")),
        ([record("peak", 1), record("peak", 3)], 0, Preset(1, "peak")),
        (
            [record("peak", 1), record("maintenance", 2), record("peak", 1, True)],
            0,
            Preset(2, "maintenance"),
        ),
        ([record("peak", 1)], 5, INITIAL_PRESET),
        ([record("peak", 7, True)], 5, Preset(7, "peak")),
        ([record("peak", 7, True), record("ordinary", 8)], 5, Preset(8, "ordinary")),
        ([record("bogus", 1)], 0, INITIAL_PRESET),
        ([LogRecord(0, "x", "not json")], 0, INITIAL_PRESET),
    ],
)
def test_first_valid_change_wins(
    records: list[LogRecord], first_offset: int, expected: Preset
) -> None:
    preset = INITIAL_PRESET
    for item in records:
        preset = apply_preset_record(preset, item, first_offset)
    assert preset == expected
