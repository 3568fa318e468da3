"""Tests of moving averages by kind of task."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.averages_by_kind import MAX_KINDS
from sardineferry.decision.averages_by_kind import average_of_kind

if TYPE_CHECKING:
    from sardineferry.decision.moving_average import MovingAverage


def test_oldest_kind_is_removed_at_the_limit() -> None:
    averages: dict[str, MovingAverage] = {}
    for index in range(MAX_KINDS + 5):
        average_of_kind(averages, f"kind-{index}", 1.0, 0.1)
    assert len(averages) == MAX_KINDS
    assert "kind-0" not in averages


def test_known_kind_keeps_its_average() -> None:
    averages: dict[str, MovingAverage] = {}
    average_of_kind(averages, "quote", 1.0, 0.1).add(3.0)
    assert average_of_kind(averages, "quote", 1.0, 0.1).value == 3.0
