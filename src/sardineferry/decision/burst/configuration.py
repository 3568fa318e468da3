"""The operator's configuration: routes to services and limits on requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst.overload.order import find_prioritised_services

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["NO_CONFIGURATION", "Configuration", "EdgeLimits", "Route", "RouteTable"]


class Route(NamedTuple):
    """A queue of jobs, selected by host and path prefix.

    A job fails when ``attempts`` runs of one of its tasks have failed. Its
    response-time goal is ``slack_factor`` times a task's work plus ``goal_ms``.
    Jobs of a route that ``needs_advice`` are refused, as advisors are not supported.
    ``priority`` (0 is the most urgent) has an effect if the routes of the service have
    different ones. ``timeout_ms`` has none.
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


class RouteTable:
    """Finds routes; a look-up costs a few steps, however many routes there are."""

    def __init__(self, routes: Sequence[Route]) -> None:
        """Index the routes by host and path prefix; of equal ones the first counts."""
        # The most urgent priority of each service whose routes have different ones.
        self.prioritised_services = find_prioritised_services(routes)
        self.routes: dict[str, dict[str, Route]] = {}
        # The lengths of each host's prefixes, in descending order.
        self.prefix_lengths: dict[str, list[int]] = {}
        for route in routes:
            self.routes.setdefault(route.host, {}).setdefault(route.path_prefix, route)
        for host, by_prefix in self.routes.items():
            lengths = {len(prefix) for prefix in by_prefix}
            self.prefix_lengths[host] = sorted(lengths, reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that the path begins with."""
        by_prefix = self.routes.get(host, {})
        for length in self.prefix_lengths.get(host, ()):
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None
