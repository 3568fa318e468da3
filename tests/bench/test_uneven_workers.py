"""Tests the choice of workers under simulated loads."""

from __future__ import annotations

import pytest
from bench.virtual.uneven_workers import LOADS
from bench.virtual.uneven_workers import simulate


@pytest.mark.parametrize(
    ("name", "min_worth", "max_remote_share"),
    [("maps data", 0.98, 0.25), ("maps calm", 0.995, 0.2)],
)
def test_jobs_are_in_time_without_needless_runs_elsewhere(
    name: str, min_worth: float, max_remote_share: float
) -> None:
    """Guards against runs far from their data, and against needless traffic.

    Without regard to the data, the worth of the first load is 0.91.
    """
    result, remote_share = simulate(LOADS[name], seed=1)
    assert result.worth >= min_worth
    assert remote_share <= max_remote_share
