"""Event handlers for records and errors of the shared log."""

from __future__ import annotations

from sardineferry.decision import events
from sardineferry.decision.claims import CLAIM_STREAM
from sardineferry.decision.entry import admission
from sardineferry.decision.entry import claiming
from sardineferry.decision.entry import ownership
from sardineferry.decision.entry import presets
from sardineferry.decision.entry.event_dispatch import handle_event
from sardineferry.decision.entry.state import EntryState
from sardineferry.decision.preset import CONFIG_STREAM

__all__ = ["on_append_failed", "on_log_records"]


@handle_event.register
def on_log_records(
    event: events.LogRecords, state: EntryState, sender: str, now_ms: int
) -> None:
    """Apply the records of a stream in order of offset."""
    if event.stream == CLAIM_STREAM:
        state.claim_reads_needed = max(0, state.claim_reads_needed - 1)
    for record in event.records:
        if event.stream == CONFIG_STREAM:
            presets.apply_record(state, record, event.first_offset, now_ms)
        if event.stream == CLAIM_STREAM:
            apply_claim_record(state, record, now_ms)


def apply_claim_record(
    state: EntryState, record: events.LogRecord, now_ms: int
) -> None:
    """Apply a record of claims; admit, recover or forward the jobs it names."""
    claiming.confirm_batch(state, record.record_id)
    for submission in state.claims.apply_record(record, now_ms):
        job = state.live_jobs.get(submission)
        if job is not None and ownership.apply_claim(state, job, now_ms):
            admission.admit(state, job, now_ms)


@handle_event.register
def on_append_failed(
    event: events.AppendFailed, state: EntryState, sender: str, now_ms: int
) -> None:
    """Schedule another append of the record."""
    if event.stream == CLAIM_STREAM:
        claiming.schedule_append_retry(state, event.record_id, now_ms)
    else:
        presets.schedule_append_retry(state, event.record_id, now_ms)
