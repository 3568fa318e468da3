"""Presets: the policy each one sets, and which one is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from sardineferry.decision.events import LogRecord

__all__ = [
    "CONFIG_STREAM",
    "PRESETS",
    "Policy",
    "Preset",
    "PresetRecord",
    "fold_preset",
    "policy_of",
]

CONFIG_STREAM = "config"


class Policy(NamedTuple):
    """What a preset sets.

    ``retry_ratio`` and ``hedge_ratio`` are shares of successful tasks;
    ``queue_share`` scales the bound of the entry's queue.
    """

    admits: bool
    retry_ratio: float
    hedge_ratio: float
    queue_share: float


PRESETS = {
    "ordinary": Policy(True, 0.10, 0.02, 1.0),
    "peak": Policy(True, 0.05, 0.0, 0.5),
    "maintenance": Policy(False, 0.05, 0.0, 1.0),
}


class Preset(NamedTuple):
    """A preset in force, with the version that only grows."""

    version: int
    name: str


class PresetRecord(msgspec.Struct, frozen=True):
    """A record of the configuration stream.

    A record with ``republished`` true repeats the preset in force so that it
    outlives the log's retention.
    """

    name: str
    version: int
    by: str
    republished: bool = False


def policy_of(preset: Preset) -> Policy:
    """Return the policy of a preset."""
    return PRESETS[preset.name]


def fold_preset(current: Preset, record: LogRecord, first_offset: int) -> Preset:
    """Apply a record: the first valid change by offset wins.

    A change is valid when it names the version after the current one. A
    reader that lost the beginning of the stream adopts republished records
    only, as it cannot tell winners from losers before one.
    """
    try:
        body = msgspec.json.decode(record.body, type=PresetRecord)
    except msgspec.DecodeError:
        return current
    if body.name not in PRESETS:
        return current
    proposed = Preset(body.version, body.name)
    if body.republished:
        return max(current, proposed, key=lambda item: item.version)
    base_known = current.version > 0 or first_offset == 0
    if base_known and body.version == current.version + 1:
        return proposed
    return current
