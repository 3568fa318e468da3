"""Decodes the configuration that the operator writes to the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.configuration import Configuration
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.configuration import Route
from sardineferry.platform.json_values import Integer
from sardineferry.platform.json_values import Quantity

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "AdvisorSection",
    "ConfigDocument",
    "LimitsSection",
    "RouteSection",
    "decode_configuration",
]

# The topic and key that the operator writes the configuration to.
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
# With a greater factor, goals in ms would exceed all numbers that are used for times.
MAX_SLACK_FACTOR = 1_000_000
SlackFactor = Annotated[float, msgspec.Meta(le=MAX_SLACK_FACTOR)]


class AdvisorSection(msgspec.Struct):
    """The advisor of a route: a service that chooses the workers for a step."""

    decide_ms: Quantity = msgspec.field(name="DecideMs", default=0)


class RouteSection(msgspec.Struct):
    """One route in the operator's JSON."""

    host: str = msgspec.field(name="Host")
    path_prefix: str = msgspec.field(name="PathPrefix")
    service: str = msgspec.field(name="Service")
    name: str = msgspec.field(name="Name", default="")
    timeout_ms: Quantity = msgspec.field(name="TimeoutMs", default=0)
    goal_ms: Quantity = msgspec.field(name="TargetLatencyMs", default=0)
    attempts: Integer = msgspec.field(name="Attempts", default=1)
    slack_factor: SlackFactor = msgspec.field(name="SlackFactor", default=1.0)
    priority: Integer = msgspec.field(name="Priority", default=0)
    advisor: AdvisorSection | None = msgspec.field(name="Advisor", default=None)


class LimitsSection(msgspec.Struct):
    """Limits on callers' requests and connections."""

    header_bytes: Quantity = msgspec.field(name="MaxHeaderBytes", default=16_384)
    body_bytes: Quantity = msgspec.field(name="MaxBodyBytes", default=262_144)
    header_timeout_ms: Quantity = msgspec.field(name="HeaderTimeoutMs", default=3_000)
    idle_timeout_ms: Quantity = msgspec.field(name="IdleTimeoutMs", default=15_000)


class ConfigDocument(msgspec.Struct):
    """The operator's configuration as JSON."""

    version: Integer = msgspec.field(name="Version")
    routes: list[RouteSection] = msgspec.field(name="Routes", default_factory=list)
    limits: LimitsSection = msgspec.field(name="Limits", default_factory=LimitsSection)


def decode_configuration(text: bytes) -> Result[Configuration, str]:
    """Decode a configuration, ignoring unknown fields."""
    try:
        document = msgspec.json.decode(text, type=ConfigDocument)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(str(error))
    routes = tuple(to_route(item) for item in document.routes)
    limits = EdgeLimits(*msgspec.structs.astuple(document.limits))
    return Success(Configuration(document.version, routes, limits, text))


def to_route(section: RouteSection) -> Route:
    """Convert a route of the operator's JSON to the core's type."""
    return Route(
        name=section.name,
        host=section.host.lower(),
        path_prefix=section.path_prefix,
        service=section.service,
        timeout_ms=section.timeout_ms,
        goal_ms=section.goal_ms,
        attempts=section.attempts,
        slack_factor=section.slack_factor,
        priority=section.priority,
        needs_advice=section.advisor is not None,
    )
