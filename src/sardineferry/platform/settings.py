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


class ListenSection(msgspec.Struct):
    """Addresses to listen on; an address is empty if the role does not use it."""

    callers: str = msgspec.field(name="Front", default="")
    readiness: str = msgspec.field(name="Ready", default="")
    # Where an agent receives the heartbeats of its machine's worker. Unused on an
    # entry.
    control: str = msgspec.field(name="Control", default="")


class BoundsSection(msgspec.Struct):
    """Time limits that the platform sets, and how much slower remote data is."""

    grace_s: float = msgspec.field(name="GraceS", default=6.0)
    remote_factor: float = msgspec.field(name="RemoteFactor", default=1.0)


class LimitsSection(msgspec.Struct):
    """Resource limits of the machine."""

    memory_mb: int = msgspec.field(name="MemoryMb", default=300)
    descriptors: int = msgspec.field(name="MaxFds", default=4_096)


class StoreSection(msgspec.Struct):
    """Where the platform's metadata store listens."""

    address: str = msgspec.field(name="Address")


class SettingsDocument(msgspec.Struct):
    """The settings file; unknown fields are ignored."""

    name: str = msgspec.field(name="NodeName")
    ip: str = msgspec.field(name="Ip")
    zone: str = msgspec.field(name="Zone")
    listen: ListenSection = msgspec.field(name="Listen")
    ports: tuple[int, int] = msgspec.field(name="PortRange")
    store: StoreSection = msgspec.field(name="platform")
    seeds: list[str] = msgspec.field(name="Seeds", default_factory=list)
    bounds: BoundsSection = msgspec.field(name="Bounds", default_factory=BoundsSection)
    limits: LimitsSection = msgspec.field(name="Limits", default_factory=LimitsSection)
    worker: str = msgspec.field(name="app", default="")
    service: str = msgspec.field(name="Service", default="")


def settings_path() -> Path:
    """Return the path of the settings file, which the environment can override."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_deployment_settings(
    path: Path,
) -> Result[DeploymentSettings, tuple[SettingsError, ...]]:
    """Read and check the settings file, which is JSON or YAML."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return single_error(f"cannot read {path}: {error.strerror}")
    parsed = parse_json_or_yaml(content)
    if isinstance(parsed, Failure):
        return parsed
    document = parsed.unwrap()
    if not isinstance(document, dict):
        return single_error("must be a table")
    try:
        fields = msgspec.convert(document, SettingsDocument)
    except msgspec.ValidationError as error:
        reason, _, json_path = str(error).partition(" - at `")
        return single_error(reason, json_path.rstrip("`") or "$")
    return Success(to_deployment_settings(fields))


def parse_json_or_yaml(content: bytes) -> Result[Any, tuple[SettingsError, ...]]:
    """Parse JSON, which the deploy file's template produces, or YAML."""
    try:
        return Success(msgspec.json.decode(content))
    except msgspec.DecodeError:
        return parse_yaml(content)


def parse_yaml(content: bytes) -> Result[Any, tuple[SettingsError, ...]]:
    """Parse YAML, the platform's own format."""
    # Imported only when needed: the import takes a tenth of the start-up time.
    import yaml

    try:
        return Success(yaml.safe_load(content))
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return single_error(f"neither JSON nor YAML: {error}")


def single_error(
    reason: str, json_path: str = "$"
) -> Failure[tuple[SettingsError, ...]]:
    """Return a failure with one error, by default of the settings file as a whole."""
    return Failure((SettingsError(json_path, reason),))


def to_deployment_settings(fields: SettingsDocument) -> DeploymentSettings:
    """Convert the settings file's fields to the settings of a process.

    Entries accept links from agents on the first port of ``PortRange``, which
    is the same on all machines. The file's seeds are control addresses of
    entries, so their port is replaced by that one.
    """
    link_port = fields.ports[0]
    seeds = [f"{seed.rpartition(':')[0]}:{link_port}" for seed in fields.seeds]
    return DeploymentSettings(
        name=fields.name,
        ip=fields.ip,
        data_centre=fields.zone,
        callers=fields.listen.callers,
        readiness=fields.listen.readiness,
        worker_reports=fields.listen.control,
        links=f"{fields.ip}:{link_port}",
        entry_links=tuple(seeds),
        worker=fields.worker,
        service=fields.service,
        store=fields.store.address,
        grace_ms=int(fields.bounds.grace_s * MS_PER_S),
        remote_factor=max(1.0, fields.bounds.remote_factor),
        memory_mb=fields.limits.memory_mb,
        descriptors=fields.limits.descriptors,
    )
