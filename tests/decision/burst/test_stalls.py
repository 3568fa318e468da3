"""Tests the detection of runs that make too little progress."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.stalls import is_stalled


@pytest.mark.parametrize(
    ("percent", "elapsed_ms", "estimate_ms", "movable", "stalled"),
    [
        (0, 260, 100, True, False),
        (0, 520, 5_000, True, True),
        (0, 520, 5_000, False, True),
        (10, 520, 1_800, True, False),
        (30, 2_000, 1_800, True, False),
        (5, 1_000, 1_800, True, True),
        (5, 1_000, 1_800, False, False),
        (50, 900, 100, True, True),
        (90, 900, 400, True, False),
    ],
    ids=[
        "too young",
        "hangs",
        "hangs on its second worker",
        "as estimated",
        "usual slow worker",
        "ten times slower",
        "slow on its second worker, too",
        "short run that takes long",
        "nearly done",
    ],
)
def test_stall_is_detected_by_progress(
    percent: int, elapsed_ms: int, estimate_ms: int, movable: bool, stalled: bool
) -> None:
    assert is_stalled(percent, elapsed_ms, estimate_ms, movable) is stalled
