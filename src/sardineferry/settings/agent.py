"""Settings of an agent."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.target import TargetShape

__all__ = ["AgentSettings"]


class AgentSettings(NamedTuple):
    """What an agent is told.

    ``target`` is the ``host:port`` of the target's HTTP service and
    ``entries`` the ``host:port`` of entries to announce the target to.
    ``queue_units`` may queue beside the target: none answers soonest, more
    of them save refused messages.
    """

    name: str
    data_centre: str
    target: str
    entries: tuple[str, ...]
    shape: TargetShape
    queue_units: int = 1
    table_limit: int = 50_000
    statsd: str = ""
    log_level: str = "INFO"
    log_json: bool = False
