"""Changes, adopts, announces and republishes the preset in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineferry.decision.effects import Append
from sardineferry.decision.effects import PresetAnswer
from sardineferry.decision.entry.broadcast import broadcast
from sardineferry.decision.entry.state import PresetChange
from sardineferry.decision.preset import CONFIG_STREAM
from sardineferry.decision.preset import PresetRecord
from sardineferry.decision.preset import apply_preset_record
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState
    from sardineferry.decision.events import LogRecord
    from sardineferry.decision.events import SetPreset
    from sardineferry.decision.preset import Preset

__all__ = [
    "adopt",
    "apply_record",
    "republish_if_due",
    "request_change",
    "retry_or_expire_changes",
    "schedule_append_retry",
]

# Time after which an operator is answered although the change was not read back.
CHANGE_ANSWER_TIMEOUT_MS = 5_000
APPEND_RETRY_DELAY_MS = 200


def adopt(state: EntryState, preset: Preset, now_ms: int) -> None:
    """Adopt a preset if its version is higher, and notify agents and peers."""
    if preset.version <= state.preset.version:
        return
    state.preset = preset
    broadcast(state, wire.PresetNotice(preset.version, preset.name))


def request_change(state: EntryState, event: SetPreset, now_ms: int) -> None:
    """Append an operator's change; the operator is answered when it is read back.

    A change that expects another version than the one in force is a conflict.
    """
    if event.expected_version != state.preset.version:
        answer_operator(state, event.token, "conflict")
        return
    version = event.expected_version + 1
    record = PresetRecord(event.name, version, state.name)
    body = msgspec.json.encode(record).decode()
    deadline_ms = now_ms + CHANGE_ANSWER_TIMEOUT_MS
    state.preset_changes[event.record_id] = PresetChange(
        event.token, event.record_id, body, version, deadline_ms
    )
    state.effects.append(Append(CONFIG_STREAM, event.record_id, body))


def answer_operator(state: EntryState, token: int, outcome: str) -> None:
    """Answer an operator with the outcome and the preset in force."""
    state.effects.append(
        PresetAnswer(token, outcome, state.preset.version, state.preset.name)
    )


def apply_record(
    state: EntryState, record: LogRecord, first_offset: int, now_ms: int
) -> None:
    """Apply a record of the configuration stream.

    If the record is a change made here, its operator is answered.
    """
    adopted = apply_preset_record(state.preset, record, first_offset)
    accepted = adopted != state.preset
    adopt(state, adopted, now_ms)
    schedule_republish(state, now_ms)
    change = state.preset_changes.pop(record.record_id, None)
    if change is not None:
        answer_operator(state, change.token, "accepted" if accepted else "conflict")


def schedule_republish(state: EntryState, now_ms: int) -> None:
    """Set when this entry republishes the preset, at random.

    Each record that is read postpones it, so mostly one entry republishes.
    """
    spread = state.random.uniform(1.0, 2.0)
    state.next_republish_ms = now_ms + int(state.policy.republish_ms * spread)


def republish_if_due(state: EntryState, now_ms: int) -> None:
    """Append the preset in force again before the log's retention removes it."""
    if state.next_republish_ms == 0:
        schedule_republish(state, now_ms)
        return
    if now_ms < state.next_republish_ms or state.preset.version == 0:
        return
    schedule_republish(state, now_ms)
    record = PresetRecord(
        state.preset.name, state.preset.version, state.name, republished=True
    )
    record_id = f"{state.name}/{state.incarnation}/{state.next_id()}"
    body = msgspec.json.encode(record).decode()
    state.effects.append(Append(CONFIG_STREAM, record_id, body))


def schedule_append_retry(state: EntryState, record_id: str, now_ms: int) -> None:
    """Schedule another append of a change whose first append failed."""
    change = state.preset_changes.get(record_id)
    if change is not None:
        change.retry_at_ms = now_ms + APPEND_RETRY_DELAY_MS


def retry_or_expire_changes(state: EntryState, now_ms: int) -> None:
    """Repeat appends that are due; answer "unknown" for changes past their deadline."""
    for change in list(state.preset_changes.values()):
        if now_ms >= change.deadline_ms:
            del state.preset_changes[change.record_id]
            answer_operator(state, change.token, "unknown")
        elif change.retry_at_ms and now_ms >= change.retry_at_ms:
            change.retry_at_ms = 0
            state.effects.append(Append(CONFIG_STREAM, change.record_id, change.body))
