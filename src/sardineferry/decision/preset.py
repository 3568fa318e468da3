"""Presets: named policies, of which one is in force at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from sardineferry.decision.events import LogRecord

__all__ = [
    "CONFIG_STREAM",
    "PRESETS",
    "Preset",
    "PresetPolicy",
    "PresetRecord",
    "apply_preset_record",
    "policy_of_preset",
]

CONFIG_STREAM = "config"


class PresetPolicy(NamedTuple):
    """The policy of a preset.

    ``admits`` is true if entries accept jobs. Retries and hedged attempts
    are limited to the shares ``retry_ratio`` and ``hedge_ratio`` of successful
    tasks. ``queue_share`` scales the limit of an entry's queue.
    """

    admits: bool
    retry_ratio: float
    hedge_ratio: float
    queue_share: float


PRESETS = {
    "ordinary": PresetPolicy(True, 0.10, 0.02, 1.0),
    "peak": PresetPolicy(True, 0.05, 0.0, 0.5),
    "maintenance": PresetPolicy(False, 0.05, 0.0, 1.0),
}


class Preset(NamedTuple):
    """A preset and its version, which rises with each change."""

    version: int
    name: str


class PresetRecord(msgspec.Struct, frozen=True):
    """A record of the configuration stream, written by entry ``by``.

    With ``republished`` true it repeats the preset in force, so that the
    preset outlives the log's retention.
    """

    name: str
    version: int
    by: str
    republished: bool = False


def policy_of_preset(preset: Preset) -> PresetPolicy:
    """Return the policy that belongs to a preset."""
    return PRESETS[preset.name]


def apply_preset_record(
    current: Preset, record: LogRecord, first_offset: int
) -> Preset:
    """Return the preset in force after a record of the configuration stream.

    A change is valid if its version is one above the current one, so the first
    of several changes with the same version wins. A reader that missed the
    beginning of the stream cannot know which changes were valid; it adopts
    nothing until it has read a republished record.
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
    knows_current = current.version > 0 or first_offset == 0
    if knows_current and body.version == current.version + 1:
        return proposed
    return current
