"""The operator's configuration: routes to services, and limits at the edge."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["NO_CONFIGURATION", "Configuration", "EdgeLimits", "Route", "match_route"]


class Route(NamedTuple):
    """A queue of jobs, selected by host and path prefix.

    ``attempts`` bounds the runs of a task that end as failed. A job's
    response-time goal is ``slack_factor`` times its work and ``goal_ms`` more.
    ``priority`` 0 comes first.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    goal_ms: int
    attempts: int
    slack_factor: float
    priority: int
    needs_advice: bool


class EdgeLimits(NamedTuple):
    """Limits on what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One version, with the text that it was decoded from."""

    version: int
    routes: tuple[Route, ...]
    limits: EdgeLimits
    text: bytes


NO_CONFIGURATION = Configuration(-1, (), EdgeLimits(), b"")


def match_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path."""
    found: Route | None = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if found is None or len(route.path_prefix) > len(found.path_prefix):
            found = route
    return found
