"""Limits and timings of an entry."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EntryPolicy"]


class EntryPolicy(NamedTuple):
    """Limits of an entry; times are in milliseconds.

    ``queue_limit`` bounds waiting tasks; ``team_quotas`` bounds the units
    that a team may have running over all entries. ``demand_fanout`` is the
    number of agents asked when no credit is held, ``demand_ttl_ms`` the time
    until they are asked again, ``demand_after_ms`` the wait before the first.
    """

    team_quotas: dict[str, int]
    queue_limit: int = 20_000
    job_limit: int = 20_000
    suspect_ms: int = 2_000
    lapse_ms: int = 5_000
    claim_timeout_ms: int = 1_500
    claim_interval_ms: int = 10
    claim_horizon_ms: int = 600_000
    answer_kept_ms: int = 120_000
    peer_timeout_ms: int = 3_000
    recovery_ms: int = 2_000
    digest_ms: int = 1_000
    republish_ms: int = 60_000
    demand_fanout: int = 4
    demand_ttl_ms: int = 500
    demand_after_ms: int = 0
    hedge_factor: float = 3.0
    hedge_floor_ms: int = 500
    attempt_limit: int = 6
    retry_after_ms: int = 1_000
