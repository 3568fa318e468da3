"""What an entry does by the clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import Send
from sardineferry.decision.entry import claiming
from sardineferry.decision.entry import members
from sardineferry.decision.entry import ownership
from sardineferry.decision.entry import peers
from sardineferry.decision.entry import presets
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry import results
from sardineferry.decision.entry.outcomes import end_job
from sardineferry.decision.entry.outcomes import end_task
from sardineferry.decision.entry.outcomes import give_up
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.routing import sort_members
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import JobEntry
    from sardineferry.decision.entry.state import EntryState

__all__ = ["check_forwards", "tick"]

MEMBER_SCAN_MS = 250
RATE_WINDOW_MS = 250
READS_AFTER_PAUSE = 2


def tick(state: EntryState, now_ms: int) -> None:
    """Apply everything that is due."""
    notice_pause(state, now_ms)
    claiming.flush_claims(state, now_ms)
    presets.expire_changes(state, now_ms)
    presets.republish_when_due(state, now_ms)
    for entry in list(state.live_jobs.values()):
        check_job(state, entry, now_ms)
    send_cancels(state)
    scan_slowly(state, now_ms)
    measure_rate(state, now_ms)
    results.hedge_late(state, now_ms)
    dispatch(state, now_ms)


def notice_pause(state: EntryState, now_ms: int) -> None:
    """Doubt the claims after a pause, until they were read twice.

    The first read that arrives may have been made before the pause.
    """
    gap_ms = now_ms - state.last_tick_ms
    if state.last_tick_ms and gap_ms > state.policy.peer_timeout_ms // 2:
        state.doubtful_reads = READS_AFTER_PAUSE
    state.last_tick_ms = now_ms


def check_job(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Apply the deadlines of one job."""
    if entry.claim_until_ms and now_ms >= entry.claim_until_ms:
        entry.claim_until_ms = 0
        claiming.expire_claim(state, entry, now_ms)
        return
    if entry.recovery_until_ms and now_ms >= entry.recovery_until_ms:
        recovery.conclude(state, entry, now_ms)
    if entry.state == "forwarded":
        ownership.check_forwarded(state, entry, now_ms)
    if now_ms >= entry.deadline_ms and not entry.is_final():
        expire_job(state, entry, now_ms)


def expire_job(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Answer a job at its deadline with what is known."""
    if entry.state != "running":
        entry.reason = "deadline; the owner's answer is not known"
        end_job(state, entry, "lose", now_ms)
        return
    for task in list(entry.tasks.values()):
        if task.is_final():
            continue
        for agent in task.placed:
            state.cancels.setdefault(agent, set()).add(entry.job.submission)
        if task.state == "waiting":
            give_up(state, task, "expire", "deadline", now_ms)
            continue
        end_task(state, task, "lose", "deadline; an attempt may have run", now_ms)


def check_forwards(state: EntryState, now_ms: int) -> None:
    """Look again at jobs that wait for their owner."""
    for entry in list(state.live_jobs.values()):
        if entry.state == "forwarded":
            ownership.check_forwarded(state, entry, now_ms)


def send_cancels(state: EntryState) -> None:
    """Send the collected cancellations, one message an agent."""
    for agent, submissions in state.cancels.items():
        state.counters["cancels"] += 1
        state.effects.append(Send(agent, wire.Cancel(tuple(sorted(submissions)))))
    state.cancels.clear()


def scan_slowly(state: EntryState, now_ms: int) -> None:
    """Scan members, send digests and purge, each at its own interval."""
    if now_ms >= state.next_member_scan_ms:
        state.next_member_scan_ms = now_ms + MEMBER_SCAN_MS
        members.scan(state, now_ms)
        sort_members(state)
    if now_ms >= state.next_digest_ms:
        state.next_digest_ms = now_ms + state.policy.digest_ms
        peers.send_digests(state)
        peers.forget(state, now_ms)
        state.claims.purge(now_ms)
        purge_jobs(state, now_ms)


def purge_jobs(state: EntryState, now_ms: int) -> None:
    """Forget answers kept long enough, and the oldest beyond the bound."""
    state.forward_tokens = {
        token: submission
        for token, submission in state.forward_tokens.items()
        if submission in state.live_jobs
    }
    kept_ms = state.policy.answer_kept_ms
    surplus = len(state.jobs) - state.policy.job_limit
    for submission, entry in list(state.jobs.items()):
        expired = entry.is_final() and now_ms - entry.finished_at_ms > kept_ms
        if expired or (surplus > 0 and entry.is_final()):
            del state.jobs[submission]
            surplus -= 1
        elif surplus <= 0 and entry.is_final():
            break


def measure_rate(state: EntryState, now_ms: int) -> None:
    """Learn how fast tasks complete while some wait."""
    window_ms = now_ms - state.last_rate_ms
    if window_ms < RATE_WINDOW_MS:
        return
    if state.queue.waiting and state.last_rate_ms:
        state.completions_per_ms.add(state.completed_since_tick / window_ms)
    state.last_rate_ms = now_ms
    state.completed_since_tick = 0
