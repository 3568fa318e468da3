"""Limits and timeouts of an entry."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EntryPolicy"]


class EntryPolicy(NamedTuple):
    """Limits and timeouts of an entry; times are in milliseconds.

    ``team_quotas`` limits the number of running attempts of each team over all
    entries; each counts as one, whatever its task's size.
    ``queue_limit`` is the number of waiting tasks that the teams share evenly.
    ``job_limit`` bounds the open jobs, and also the open and ended jobs that
    are kept; ``attempt_limit`` bounds the attempts at a task. ``job_bytes_limit``
    bounds the memory of the open jobs with their payloads.

    An agent is suspect after ``suspect_after_ms`` of silence and lost after
    ``lost_after_ms``, which is longer than the agent's lease (``AgentPolicy``)
    so that a lost agent no longer starts tasks. After ``peer_timeout_ms`` of
    silence, the jobs of a peer may be taken over and its digest is no longer used;
    see ``routing.team_limit``. An agent that refused a start for lack of capacity
    gets no other for ``full_ms``, unless it reports free units before. With
    ``load_half_life_ms`` above zero, the load of other entries by the last
    report is assumed to halve in that time; see
    ``AgentView.estimate_other_units``.

    A claim must be read back within ``claim_timeout_ms``; appends of claims
    are at least ``claim_interval_ms`` apart, and claims are kept for
    ``claim_retention_ms``. When a job is recovered, agents must report within
    ``recovery_timeout_ms``. Final answers are kept for ``answer_retention_ms``.
    Digests are sent to peers every ``digest_interval_ms``. The preset is
    appended to the log again after once to twice ``republish_ms``.

    A task is hedged once it runs ``hedge_delay_factor`` times as long as expected,
    but not before ``hedge_min_delay_ms``. ``retry_after_ms`` is the retry
    delay that refused callers are given.
    """

    team_quotas: dict[str, int]
    queue_limit: int = 20_000
    job_limit: int = 20_000
    job_bytes_limit: int = 256 * 1024 * 1024
    suspect_after_ms: int = 2_000
    lost_after_ms: int = 5_000
    claim_timeout_ms: int = 1_500
    claim_interval_ms: int = 10
    claim_retention_ms: int = 600_000
    answer_retention_ms: int = 120_000
    peer_timeout_ms: int = 3_000
    recovery_timeout_ms: int = 2_000
    digest_interval_ms: int = 1_000
    republish_ms: int = 60_000
    full_ms: int = 20
    load_half_life_ms: int = 0
    hedge_delay_factor: float = 3.0
    hedge_min_delay_ms: int = 500
    attempt_limit: int = 6
    retry_after_ms: int = 1_000
