"""Limits and timings of an entry."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EntryPolicy"]


class EntryPolicy(NamedTuple):
    """Limits of an entry; times are in milliseconds.

    ``queue_limit`` bounds waiting tasks; ``team_quotas`` bounds the units
    that a team may have running over all entries. An agent that refused a
    start for lack of capacity gets none for ``full_ms``, unless it answers.
    With ``load_half_life_ms`` above zero, what other entries had in flight by
    the last report is taken to end at that pace.
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
    full_ms: int = 20
    load_half_life_ms: int = 0
    hedge_factor: float = 3.0
    hedge_floor_ms: int = 500
    attempt_limit: int = 6
    retry_after_ms: int = 1_000
