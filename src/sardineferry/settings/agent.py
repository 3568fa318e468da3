"""The settings of an agent."""

from __future__ import annotations

from typing import NamedTuple

from sardineferry.messages.target import TargetShape

__all__ = ["AgentSettings"]


class AgentSettings(NamedTuple):
    """The settings of an agent, as its settings file has them.

    ``target`` is the ``host:port`` of the target's HTTP service, and
    ``entries`` are the ``host:port`` of entries to link to. ``queue_units`` is
    how many units of tasks may wait at the agent: 0 gives the fastest answers,
    a higher number fewer refused starts. ``AgentPolicy`` explains
    ``table_limit``.
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
