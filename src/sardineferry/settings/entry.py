"""Settings of an entry."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EntrySettings"]


class EntrySettings(NamedTuple):
    """What an entry is told; intervals are in milliseconds.

    ``listen`` and ``peers`` are ``host:port`` for links, ``http`` for
    callers. ``teams`` maps each team to its quota of running units.
    """

    name: str
    data_centre: str
    listen: str
    http: str
    log: str
    teams: dict[str, int]
    peers: tuple[str, ...] = ()
    http_threads: int = 128
    queue_limit: int = 20_000
    claim_interval_ms: int = 10
    full_ms: int = 20
    load_half_life_ms: int = 0
    republish_ms: int = 60_000
    drain_linger_ms: int = 500
    statsd: str = ""
    log_level: str = "INFO"
    log_json: bool = False
