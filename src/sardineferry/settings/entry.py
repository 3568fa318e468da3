"""The settings of an entry."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EntrySettings"]


class EntrySettings(NamedTuple):
    """The settings of an entry, as its settings file has them.

    ``listen`` is the ``host:port`` for links and ``peers`` are those of other
    entries; ``http`` is the ``host:port`` for callers and ``log`` that of the
    platform's log. ``teams`` maps each team to the number of attempts that it
    may have running over all entries. ``http_threads`` limits the requests that
    wait at the entry, which take no threads. ``drain_linger_ms`` is the delay
    between the signal to drain and the start of draining. ``memory_mb`` is the
    memory of the machine, from which the byte budget for clients is derived.
    ``EntryPolicy`` explains the other limits.
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
    memory_mb: int = 1_024
    statsd: str = ""
    log_level: str = "INFO"
    log_json: bool = False
