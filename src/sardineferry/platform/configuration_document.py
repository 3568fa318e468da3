"""Reads a configuration with what entries ignore of it, to check it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.decision.burst.configuration_check import Finding
from sardineferry.decision.burst.configuration_check import Severity
from sardineferry.decision.burst.configuration_check import WrittenConfiguration
from sardineferry.platform.configuration import AdvisorSection
from sardineferry.platform.configuration import ConfigDocument
from sardineferry.platform.configuration import LimitsSection
from sardineferry.platform.configuration import RouteSection
from sardineferry.platform.configuration import decode_configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FIELD_NAMES", "read_configuration"]


class ServiceSection(msgspec.Struct):
    """A service in the operator's JSON."""

    name: str = msgspec.field(name="Name")


class ServicesDocument(msgspec.Struct):
    """The part of the operator's JSON that entries ignore and the check uses."""

    services: list[ServiceSection] = msgspec.field(
        name="Services", default_factory=list
    )


# The operator's names by the names of fields of the core's types.
FIELD_NAMES = {
    field.name: field.encode_name
    for section in (ConfigDocument, RouteSection, LimitsSection, ServicesDocument)
    for field in msgspec.structs.fields(section)
} | {"needs_advice": "Advisor"}

# Fields that the platform uses and entries ignore.
PLATFORM_ROUTE_FIELDS = frozenset({"Type", "AllowedRegions", "RatePerS"})
PLATFORM_SERVICE_FIELDS = frozenset(
    {
        "HealthPath",
        "MaxConns",
        "Protocol",
        "Tls",
        "ColdStartS",
        "ColdPerS",
        "Constraints",
        "Standby",
    }
)


def read_configuration(text: bytes) -> Result[WrittenConfiguration, Finding]:
    """Decode a configuration as entries do, or return why that fails.

    A list of services that can't be read is an error too, although entries ignore it.
    """
    decoded = decode_configuration(text)
    if isinstance(decoded, Failure):
        return Failure(locate_error(decoded.failure()))
    try:
        listed = msgspec.json.decode(text, type=ServicesDocument)
        # The decoder of entries skips unknown fields without checking their text.
        document = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(locate_error(str(error)))
    return Success(
        WrittenConfiguration(
            configuration=decoded.unwrap(),
            hosts=tuple(route["Host"] for route in document.get("Routes", ())),
            services=frozenset(service.name for service in listed.services),
            unknown_fields=tuple(find_unknown_fields(document)),
        )
    )


def locate_error(message: str) -> Finding:
    """Separate the path of the field from the reason in a message of the decoder."""
    reason, _, place = message.partition(" - at `$")
    path = place.rstrip("`").removeprefix(".")
    return Finding(Severity.ERROR, path or "$", reason)


def find_unknown_fields(document: dict[str, Any]) -> Iterator[str]:
    """Yield the paths of fields that neither entries nor the platform know."""
    known = wire_names(ConfigDocument) | wire_names(ServicesDocument)
    yield from (key for key in document if key not in known)
    limits = document.get("Limits", {})
    yield from unknown_keys(limits, wire_names(LimitsSection), "Limits")
    route_fields = wire_names(RouteSection) | PLATFORM_ROUTE_FIELDS
    for index, route in enumerate(document.get("Routes", ())):
        path = f"Routes[{index}]"
        yield from unknown_keys(route, route_fields, path)
        advisor = route.get("Advisor") or {}
        yield from unknown_keys(advisor, wire_names(AdvisorSection), f"{path}.Advisor")
    service_fields = wire_names(ServiceSection) | PLATFORM_SERVICE_FIELDS
    for index, service in enumerate(document.get("Services", ())):
        yield from unknown_keys(service, service_fields, f"Services[{index}]")


def unknown_keys(
    section: dict[str, Any], known: frozenset[str], path: str
) -> Iterator[str]:
    """Yield the paths of a section's fields that are not known."""
    yield from (f"{path}.{key}" for key in section if key not in known)


def wire_names(section: type[msgspec.Struct]) -> frozenset[str]:
    """Return the names of a section's fields in the operator's JSON."""
    return frozenset(field.encode_name for field in msgspec.structs.fields(section))
