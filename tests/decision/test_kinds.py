"""Tests of estimates by kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.kinds import KIND_LIMIT
from sardineferry.decision.kinds import estimate_of

if TYPE_CHECKING:
    from sardineferry.decision.estimate import Estimate


def test_estimate_of_keeps_a_bounded_number_of_kinds() -> None:
    estimates: dict[str, Estimate] = {}
    for index in range(KIND_LIMIT + 5):
        estimate_of(estimates, f"kind-{index}", 1.0, 0.1)
    assert len(estimates) == KIND_LIMIT
    assert "kind-0" not in estimates


def test_estimate_of_returns_the_same_estimate_again() -> None:
    estimates: dict[str, Estimate] = {}
    estimate_of(estimates, "quote", 1.0, 0.1).add(3.0)
    assert estimate_of(estimates, "quote", 1.0, 0.1).value == 3.0
