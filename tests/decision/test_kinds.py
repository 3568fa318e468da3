"""Tests of running means by kind of task."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.kinds import MAX_KINDS
from sardineferry.decision.kinds import estimate_of

if TYPE_CHECKING:
    from sardineferry.decision.estimate import Estimate


def test_oldest_kind_is_removed_at_the_limit() -> None:
    estimates: dict[str, Estimate] = {}
    for index in range(MAX_KINDS + 5):
        estimate_of(estimates, f"kind-{index}", 1.0, 0.1)
    assert len(estimates) == MAX_KINDS
    assert "kind-0" not in estimates


def test_known_kind_keeps_its_mean() -> None:
    estimates: dict[str, Estimate] = {}
    estimate_of(estimates, "quote", 1.0, 0.1).add(3.0)
    assert estimate_of(estimates, "quote", 1.0, 0.1).value == 3.0
