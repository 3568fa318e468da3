"""Checks a configuration before the operator sends it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.configuration import Route

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

__all__ = [
    "Finding",
    "Severity",
    "WrittenConfiguration",
    "check_configuration",
    "compare_configurations",
    "has_errors",
]


class Severity(enum.Enum):
    """How a finding affects the use of a configuration."""

    ERROR = "error"
    WARNING = "warning"
    # A difference from the version in force.
    CHANGE = "change"


class Finding(NamedTuple):
    """What was found at a field; the path ``$`` stands for the whole document."""

    severity: Severity
    path: str
    reason: str


class WrittenConfiguration(NamedTuple):
    """A decoded configuration and what decoding drops or changes.

    ``hosts`` has the host of each route as written, ``services`` the names of the
    services that the document lists, and ``unknown_fields`` the paths of fields that
    neither entries nor the platform know.
    """

    configuration: Configuration
    hosts: tuple[str, ...]
    services: frozenset[str]
    unknown_fields: tuple[str, ...]


def has_errors(findings: Sequence[Finding]) -> bool:
    """Return whether the configuration must not be sent."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def check_configuration(
    written: WrittenConfiguration, names: Mapping[str, str]
) -> tuple[Finding, ...]:
    """Return the errors and warnings of a configuration.

    ``names`` maps the names of fields of the core's types to the operator's names.
    """
    return (
        *check_routes(written, names),
        *check_limits(written.configuration.limits, names),
        *(
            Finding(Severity.WARNING, path, "unknown field, which is ignored")
            for path in written.unknown_fields
        ),
    )


def check_routes(
    written: WrittenConfiguration, names: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield what is wrong with each route, in the order of the document."""
    first_indexes: dict[tuple[str, str], int] = {}
    rows = zip(written.configuration.routes, written.hosts, strict=True)
    for index, (route, host) in enumerate(rows):
        path = f"{names['routes']}[{index}]"
        first = first_indexes.setdefault((route.host, route.path_prefix), index)
        if first != index:
            reason = (
                f"never matches: same {names['host']} and {names['path_prefix']} as "
                f"{names['routes']}[{first}]"
            )
            yield Finding(Severity.ERROR, path, reason)
        for severity, field, reason in (
            *check_matching(route, host),
            *check_route_limits(route, names),
        ):
            yield Finding(severity, f"{path}.{names[field]}", reason)
        if route.service not in written.services:
            reason = f"{route.service!r} is not listed in {names['services']}"
            yield Finding(Severity.ERROR, f"{path}.{names['service']}", reason)


def check_matching(route: Route, host: str) -> Iterator[tuple[Severity, str, str]]:
    """Yield the fields by which requests can't match a route or match unexpectedly."""
    if ":" in host:
        reason = "never matches: requests are matched by the host without port"
        yield Severity.ERROR, "host", reason
    if host != host.lower():
        # Entries convert the hosts of routes to lower case, so the route does match.
        reason = "has capitals: requests are matched by the lower-case host"
        yield Severity.WARNING, "host", reason
    if not route.path_prefix:
        # Every path begins with an empty prefix, so the route does match.
        reason = "is empty and matches every path: '/' states the same"
        yield Severity.WARNING, "path_prefix", reason
    elif not route.path_prefix.startswith("/"):
        reason = "never matches: does not begin with '/'"
        yield Severity.ERROR, "path_prefix", reason


def check_route_limits(
    route: Route, names: Mapping[str, str]
) -> Iterator[tuple[Severity, str, str]]:
    """Yield the limits of a route that are out of range or contradict each other."""
    # A route without a timeout has 0.
    if route.timeout_ms and route.timeout_ms < route.goal_ms:
        reason = f"{route.timeout_ms} is under {names['goal_ms']} {route.goal_ms}"
        yield Severity.ERROR, "timeout_ms", reason
    if route.attempts < 1:
        yield Severity.ERROR, "attempts", f"{route.attempts} is below 1"
    if route.slack_factor < 1:
        yield Severity.ERROR, "slack_factor", f"{route.slack_factor} is below 1"
    if route.priority < 0:
        yield Severity.ERROR, "priority", f"{route.priority} is below 0"


def check_limits(limits: EdgeLimits, names: Mapping[str, str]) -> Iterator[Finding]:
    """Yield the limits on requests that contradict each other."""
    for lower, upper in (
        ("header_bytes", "body_bytes"),
        ("header_timeout_ms", "idle_timeout_ms"),
    ):
        low, high = getattr(limits, lower), getattr(limits, upper)
        if low > high:
            path = f"{names['limits']}.{names[lower]}"
            yield Finding(Severity.ERROR, path, f"{low} is over {names[upper]} {high}")


def compare_configurations(
    new: Configuration, current: Configuration, names: Mapping[str, str]
) -> tuple[Finding, ...]:
    """Return what differs from the configuration in force."""
    return (
        *compare_versions(new, current, names),
        *compare_routes(new.routes, current.routes, names),
        *compare_fields(new.limits, current.limits, names["limits"], names),
    )


def compare_versions(
    new: Configuration, current: Configuration, names: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield an error if entries would ignore the new version."""
    if new.version <= current.version:
        reason = (
            f"{new.version} is not higher than {current.version}, which is in force"
        )
        yield Finding(Severity.ERROR, names["version"], reason)


def compare_routes(
    new: Sequence[Route], current: Sequence[Route], names: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield the routes added, changed and removed.

    Routes are identified by host and path prefix, by which requests select them; their
    order has no effect. The path of a removed route is the one in the version in force.
    """
    new_indexes, current_indexes = index_routes(new), index_routes(current)
    for key, index in new_indexes.items():
        path = f"{names['routes']}[{index}]"
        if key not in current_indexes:
            yield Finding(Severity.CHANGE, path, f"added: {''.join(key)}")
        else:
            known = current[current_indexes[key]]
            yield from compare_fields(new[index], known, path, names)
    for key, index in current_indexes.items():
        if key not in new_indexes:
            path = f"{names['routes']}[{index}]"
            yield Finding(Severity.CHANGE, path, f"removed: {''.join(key)}")


def index_routes(routes: Sequence[Route]) -> dict[tuple[str, str], int]:
    """Return the index of each route by host and prefix; of equal ones the first."""
    indexes: dict[tuple[str, str], int] = {}
    for index, route in enumerate(routes):
        indexes.setdefault((route.host, route.path_prefix), index)
    return indexes


def compare_fields(
    new: Route | EdgeLimits,
    current: Route | EdgeLimits,
    path: str,
    names: Mapping[str, str],
) -> Iterator[Finding]:
    """Yield the fields of a route or of the limits whose values differ."""
    for field, after, before in zip(new._fields, new, current, strict=True):
        if after != before:
            reason = f"changed from {before!r} to {after!r}"
            yield Finding(Severity.CHANGE, f"{path}.{names[field]}", reason)
