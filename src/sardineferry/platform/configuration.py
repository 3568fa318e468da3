"""Decodes the operator's configuration."""

from __future__ import annotations

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.configuration import Route

__all__ = ["CONFIG_KEY", "CONFIG_TOPIC", "decode_configuration"]

# Where the operator writes.
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"


class AdvisorRow(msgspec.Struct):
    """Times of the service that names the workers of a step."""

    decide_ms: int = msgspec.field(name="DecideMs", default=0)


class RouteRow(msgspec.Struct):
    """One route, as the operator writes it."""

    host: str = msgspec.field(name="Host")
    path_prefix: str = msgspec.field(name="PathPrefix")
    service: str = msgspec.field(name="Service")
    name: str = msgspec.field(name="Name", default="")
    timeout_ms: int = msgspec.field(name="TimeoutMs", default=0)
    goal_ms: int = msgspec.field(name="TargetLatencyMs", default=0)
    attempts: int = msgspec.field(name="Attempts", default=1)
    slack_factor: float = msgspec.field(name="SlackFactor", default=1.0)
    priority: int = msgspec.field(name="Priority", default=0)
    advisor: AdvisorRow | None = msgspec.field(name="Advisor", default=None)


class LimitsRow(msgspec.Struct):
    """Limits on what callers send."""

    header_bytes: int = msgspec.field(name="MaxHeaderBytes", default=16_384)
    body_bytes: int = msgspec.field(name="MaxBodyBytes", default=262_144)
    header_timeout_ms: int = msgspec.field(name="HeaderTimeoutMs", default=3_000)
    idle_timeout_ms: int = msgspec.field(name="IdleTimeoutMs", default=15_000)


class ConfigRow(msgspec.Struct):
    """A configuration, as the operator writes it."""

    version: int = msgspec.field(name="Version")
    routes: list[RouteRow] = msgspec.field(name="Routes", default_factory=list)
    limits: LimitsRow = msgspec.field(name="Limits", default_factory=LimitsRow)


def decode_configuration(text: bytes) -> Result[Configuration, str]:
    """Decode a configuration; unknown fields are ignored."""
    try:
        row = msgspec.json.decode(text, type=ConfigRow)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    routes = tuple(route_of(item) for item in row.routes)
    limits = EdgeLimits(*msgspec.structs.astuple(row.limits))
    return Success(Configuration(row.version, routes, limits, text))


def route_of(row: RouteRow) -> Route:
    """Return a route in the product's terms."""
    return Route(
        name=row.name,
        host=row.host.lower(),
        path_prefix=row.path_prefix,
        service=row.service,
        timeout_ms=row.timeout_ms,
        goal_ms=row.goal_ms,
        attempts=row.attempts,
        slack_factor=row.slack_factor,
        priority=row.priority,
        needs_advice=row.advisor is not None,
    )
