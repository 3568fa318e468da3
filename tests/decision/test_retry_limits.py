"""Tests of retry budgets and backoff delays."""

from __future__ import annotations

import pytest

from sardineferry.decision.retry_limits import MAX_BACKOFF_MS
from sardineferry.decision.retry_limits import RetryBudget
from sardineferry.decision.retry_limits import backoff_ms


@pytest.mark.parametrize(
    ("failures", "delay_ms"),
    [(0, 20), (1, 40), (5, 640), (6, 1_000), (11, MAX_BACKOFF_MS), (10_000, 1_000)],
)
def test_backoff_ms_is_capped(failures: int, delay_ms: int) -> None:
    assert backoff_ms(failures) == delay_ms


@pytest.mark.parametrize(
    ("successes", "ratio", "granted"), [(0, 0.1, 0), (9, 0.1, 0), (35, 0.1, 3)]
)
def test_spend_grants_the_earned_share_of_successes(
    successes: int, ratio: float, granted: int
) -> None:
    budget = RetryBudget(tokens=0.0)
    for _ in range(successes):
        budget.earn(ratio)
    assert sum(budget.spend() for _ in range(successes + 1)) == granted
