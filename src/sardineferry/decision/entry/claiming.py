"""Claims submissions in the shared log before a non-idempotent task starts.

Claims are appended in batches: one append is in progress at a time, and claims
that arrive meanwhile go into the next one. A claim is valid once it is read
back as the first of its epoch, whether or not the log's answer to the append
arrived.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardineferry.decision.claims import CLAIM_STREAM
from sardineferry.decision.claims import ClaimRecord
from sardineferry.decision.effects import Append
from sardineferry.decision.entry.outcomes import end_job
from sardineferry.decision.entry.outcomes import refuse_job
from sardineferry.decision.entry.state import ClaimBatch
from sardineferry.decision.retry_limits import backoff_ms

if TYPE_CHECKING:
    from sardineferry.decision.claims import Claim
    from sardineferry.decision.entry.jobs import TrackedJob
    from sardineferry.decision.entry.state import EntryState

__all__ = [
    "append_due_claims",
    "confirm_batch",
    "expire_claim",
    "is_own_claim",
    "request_claim",
    "schedule_append_retry",
]


def is_own_claim(state: EntryState, claim: Claim) -> bool:
    """Return whether this incarnation of this entry made the claim."""
    return claim.entry == state.name and claim.incarnation == state.incarnation


def request_claim(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Claim the next epoch of a submission with the next batch.

    The claim is not added to it if the batch in progress holds the same claim.
    """
    submission = job.spec.submission
    wait_ms = min(state.policy.claim_timeout_ms, job.deadline_ms - now_ms)
    job.claim_deadline_ms = now_ms + wait_ms
    current = state.claims.find(submission)
    job.epoch = current.epoch + 1 if current else 1
    batch = state.claim_batch
    if batch is not None and (submission, job.epoch) in batch.claims:
        return
    state.pending_claims[submission] = job.epoch


def append_due_claims(state: EntryState, now_ms: int) -> None:
    """Append the next batch, or repeat a failed append once its delay has passed."""
    batch = state.claim_batch
    if batch is not None:
        if batch.retry_at_ms and now_ms >= batch.retry_at_ms:
            batch.retry_at_ms = 0
            state.effects.append(Append(CLAIM_STREAM, batch.record_id, batch.body))
        return
    if not state.pending_claims or now_ms < state.next_claim_append_ms:
        return
    record_id = f"{state.name}/{state.incarnation}/{state.next_id()}"
    record = ClaimRecord(
        state.name,
        state.incarnation,
        tuple(state.pending_claims.items()),
        current_roster_names(state),
    )
    body = msgspec.json.encode(record).decode()
    state.claim_batch = ClaimBatch(record_id, body, frozenset(record.claims))
    state.pending_claims = {}
    state.next_claim_append_ms = now_ms + state.policy.claim_interval_ms
    state.counters["claim_appends"] += 1
    state.effects.append(Append(CLAIM_STREAM, record_id, body))


def current_roster_names(state: EntryState) -> tuple[str, ...]:
    """Return the identities of the agents that may start tasks of new claims."""
    return tuple(
        view.identity() for view in state.agents.values() if view.state != "lost"
    )


def schedule_append_retry(state: EntryState, record_id: str, now_ms: int) -> None:
    """Schedule another append of the batch, with exponential backoff."""
    batch = state.claim_batch
    if batch is None or batch.record_id != record_id:
        return
    batch.failures += 1
    batch.retry_at_ms = now_ms + backoff_ms(batch.failures)


def confirm_batch(state: EntryState, record_id: str) -> None:
    """End the batch in progress if this is its record, read back."""
    if state.claim_batch and state.claim_batch.record_id == record_id:
        state.claim_batch = None


def expire_claim(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Answer a job whose claim was not read back in time.

    This entry started nothing of it, but an earlier submission of the key may
    have run through another entry. So the answer is "not run" only if the
    caller states that the key is new and no earlier claim of it is known.
    """
    state.pending_claims.pop(job.spec.submission, None)
    reason = "the log does not answer"
    is_new = job.no_earlier_claim and job.state == "claiming"
    if is_new and not job.spec.resubmission:
        refuse_job(state, job, reason, state.policy.retry_after_ms, now_ms)
        return
    job.reason = f"{reason}; an earlier submission of the key may have run"
    job.retry_after_ms = state.policy.retry_after_ms
    end_job(state, job, "lose", now_ms)
