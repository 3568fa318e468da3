"""Reads the settings file that the platform writes for a process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.settings.deployment import DeploymentSettings
from sardineferry.settings.loader import SettingsError

__all__ = ["SETTINGS_VARIABLE", "load_deployment_settings", "settings_path"]

SETTINGS_VARIABLE = "SARDINEFERRY_SETTINGS"
DEFAULT_PATH = "/etc/sardineferry/local.yaml"
MS_PER_S = 1_000


class ListenRow(msgspec.Struct):
    """Addresses to listen on, for what the role serves."""

    callers: str = msgspec.field(name="Front", default="")
    readiness: str = msgspec.field(name="Ready", default="")
    # Heartbeats of the machine's own worker, or, on an entry, of nobody.
    control: str = msgspec.field(name="Control", default="")


class BoundsRow(msgspec.Struct):
    """Bounds that the platform sets."""

    grace_s: float = msgspec.field(name="GraceS", default=6.0)


class LimitsRow(msgspec.Struct):
    """Limits of the machine."""

    memory_mb: int = msgspec.field(name="MemoryMb", default=300)
    descriptors: int = msgspec.field(name="MaxFds", default=4_096)


class StoreRow(msgspec.Struct):
    """The platform's metadata store."""

    address: str = msgspec.field(name="Address")


class SettingsRow(msgspec.Struct):
    """The settings file; what is not named here is ignored."""

    name: str = msgspec.field(name="NodeName")
    ip: str = msgspec.field(name="Ip")
    zone: str = msgspec.field(name="Zone")
    listen: ListenRow = msgspec.field(name="Listen")
    ports: tuple[int, int] = msgspec.field(name="PortRange")
    store: StoreRow = msgspec.field(name="platform")
    seeds: list[str] = msgspec.field(name="Seeds", default_factory=list)
    bounds: BoundsRow = msgspec.field(name="Bounds", default_factory=BoundsRow)
    limits: LimitsRow = msgspec.field(name="Limits", default_factory=LimitsRow)
    worker: str = msgspec.field(name="app", default="")
    service: str = msgspec.field(name="Service", default="")


def settings_path() -> Path:
    """Return where the platform says that the settings file is."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_deployment_settings(
    path: Path,
) -> Result[DeploymentSettings, tuple[SettingsError, ...]]:
    """Read and check the settings file, JSON or YAML."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return failure(f"cannot read {path}: {error.strerror}")
    parsed = parse(content)
    if isinstance(parsed, Failure):
        return parsed
    document = parsed.unwrap()
    if not isinstance(document, dict):
        return failure("must be a table")
    try:
        row = msgspec.convert(document, SettingsRow)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `")
        return failure(reason, place.rstrip("`") or "$")
    return Success(settings_of(row))


def parse(content: bytes) -> Result[Any, tuple[SettingsError, ...]]:
    """Parse JSON, which the deploy file's template gives, or else YAML."""
    try:
        return Success(msgspec.json.decode(content))
    except msgspec.DecodeError:
        return parse_yaml(content)


def parse_yaml(content: bytes) -> Result[Any, tuple[SettingsError, ...]]:
    """Parse the platform's own format."""
    # Imported here, as it takes a tenth of the time of a start.
    import yaml

    try:
        return Success(yaml.safe_load(content))
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return failure(f"neither JSON nor YAML: {error}")


def failure(reason: str, path: str = "$") -> Failure[tuple[SettingsError, ...]]:
    """Return one error."""
    return Failure((SettingsError(path, reason),))


def settings_of(row: SettingsRow) -> DeploymentSettings:
    """Return the settings in the product's terms.

    Entries take links on the first free port, which is the same on all
    machines; seeds are control addresses of entries.
    """
    link_port = row.ports[0]
    seeds = [f"{seed.rpartition(':')[0]}:{link_port}" for seed in row.seeds]
    return DeploymentSettings(
        name=row.name,
        ip=row.ip,
        data_centre=row.zone,
        callers=row.listen.callers,
        readiness=row.listen.readiness,
        worker_reports=row.listen.control,
        links=f"{row.ip}:{link_port}",
        entry_links=tuple(seeds),
        worker=row.worker,
        service=row.service,
        store=row.store.address,
        grace_ms=int(row.bounds.grace_s * MS_PER_S),
        memory_mb=row.limits.memory_mb,
        descriptors=row.limits.descriptors,
    )
