"""The operator's configuration: routes to services and limits on requests."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["NO_CONFIGURATION", "Configuration", "EdgeLimits", "Route", "match_route"]


class Route(NamedTuple):
    """A queue of jobs, selected by host and path prefix.

    A job fails when ``attempts`` runs of one of its tasks have failed. Its
    response-time goal is ``slack_factor`` times a task's work plus ``goal_ms``.
    Jobs of a route that ``needs_advice`` are refused, as advisors are not supported.
    ``timeout_ms`` and ``priority`` (0 is the highest) have no effect.
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
    """Limits on callers' HTTP requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One version of the configuration, with its original text."""

    version: int
    routes: tuple[Route, ...]
    limits: EdgeLimits
    text: bytes


NO_CONFIGURATION = Configuration(-1, (), EdgeLimits(), b"")


def match_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the host's route with the longest prefix that matches the path."""
    found: Route | None = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if found is None or len(route.path_prefix) > len(found.path_prefix):
            found = route
    return found
