"""Changes, adopts, tells and republishes the preset in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineferry.decision.effects import Append
from sardineferry.decision.effects import PresetAnswer
from sardineferry.decision.entry.broadcast import broadcast
from sardineferry.decision.entry.state import PresetChange
from sardineferry.decision.preset import CONFIG_STREAM
from sardineferry.decision.preset import PresetRecord
from sardineferry.decision.preset import fold_preset
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

CHANGE_ANSWER_TIMEOUT_MS = 5_000
APPEND_RETRY_DELAY_MS = 200


def adopt(state: EntryState, preset: Preset, now_ms: int) -> None:
    """Adopt a preset of a higher version, and tell agents and peers."""
    if preset.version <= state.preset.version:
        return
    state.preset = preset
    broadcast(state, wire.PresetNotice(preset.version, preset.name))


def request_change(state: EntryState, event: SetPreset, now_ms: int) -> None:
    """Append an operator's change; it is answered when read back."""
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
    """Answer an operator with the preset in force."""
    state.effects.append(
        PresetAnswer(token, outcome, state.preset.version, state.preset.name)
    )


def apply_record(
    state: EntryState, record: LogRecord, first_offset: int, now_ms: int
) -> None:
    """Apply a configuration record and answer the operator it came from."""
    following = fold_preset(state.preset, record, first_offset)
    won = following != state.preset
    adopt(state, following, now_ms)
    schedule_republish(state, now_ms)
    waiting = state.preset_changes.pop(record.record_id, None)
    if waiting is not None:
        answer_operator(state, waiting.token, "accepted" if won else "conflict")


def schedule_republish(state: EntryState, now_ms: int) -> None:
    """Set when this entry repeats the preset, spread among entries."""
    spread = state.random.uniform(1.0, 2.0)
    state.next_republish_ms = now_ms + int(state.policy.republish_ms * spread)


def republish_if_due(state: EntryState, now_ms: int) -> None:
    """Repeat the preset in force so that it outlives the log's retention."""
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
    """Repeat the append of a change whose outcome is not known."""
    waiting = state.preset_changes.get(record_id)
    if waiting is not None:
        waiting.retry_at_ms = now_ms + APPEND_RETRY_DELAY_MS


def retry_or_expire_changes(state: EntryState, now_ms: int) -> None:
    """Repeat due appends, and answer operators who have waited too long."""
    for waiting in list(state.preset_changes.values()):
        if now_ms >= waiting.deadline_ms:
            del state.preset_changes[waiting.record_id]
            answer_operator(state, waiting.token, "unknown")
        elif waiting.retry_at_ms and now_ms >= waiting.retry_at_ms:
            waiting.retry_at_ms = 0
            state.effects.append(Append(CONFIG_STREAM, waiting.record_id, waiting.body))
