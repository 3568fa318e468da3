"""Deadlines and periodic work of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import Send
from sardineferry.decision.entry import agents
from sardineferry.decision.entry import claiming
from sardineferry.decision.entry import ownership
from sardineferry.decision.entry import peers
from sardineferry.decision.entry import presets
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry import results
from sardineferry.decision.entry.outcomes import end_job
from sardineferry.decision.entry.outcomes import end_task
from sardineferry.decision.entry.outcomes import end_waiting_task
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.routing import sort_agents_by_speed
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.entry.jobs import TrackedJob
    from sardineferry.decision.entry.state import EntryState

__all__ = ["forward_or_take_over_jobs", "tick"]

# Interval of the checks for silent agents. Each check also decays the run-time
# factors of idle targets (``agents.FACTOR_DECAY_SHARE``).
AGENT_CHECK_INTERVAL_MS = 250
# Shortest time over which the completion rate is measured.
RATE_WINDOW_MS = 250
# Two, because the first read that arrives after a pause may have been made before
# it.
CLAIM_READS_AFTER_PAUSE = 2


def tick(state: EntryState, now_ms: int) -> None:
    """Apply every expired deadline and do the periodic work that is due."""
    detect_pause(state, now_ms)
    claiming.append_due_claims(state, now_ms)
    presets.retry_or_expire_changes(state, now_ms)
    presets.republish_if_due(state, now_ms)
    for job in list(state.live_jobs.values()):
        check_job_deadlines(state, job, now_ms)
    send_cancels(state)
    run_periodic_work(state, now_ms)
    measure_completion_rate(state, now_ms)
    results.hedge_late_tasks(state, now_ms)
    dispatch(state, now_ms)


def detect_pause(state: EntryState, now_ms: int) -> None:
    """Require new reads of the claims if this entry was paused.

    The threshold is half the silence after which peers take over jobs: after a
    longer pause, a peer may have claimed jobs of this entry.
    """
    gap_ms = now_ms - state.last_tick_at_ms
    if state.last_tick_at_ms and gap_ms > state.policy.peer_timeout_ms // 2:
        state.claim_reads_needed = CLAIM_READS_AFTER_PAUSE
    state.last_tick_at_ms = now_ms


def check_job_deadlines(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Apply the expired deadlines of one job."""
    if job.claim_deadline_ms and now_ms >= job.claim_deadline_ms:
        job.claim_deadline_ms = 0
        claiming.expire_claim(state, job, now_ms)
        return
    if job.recovery_deadline_ms and now_ms >= job.recovery_deadline_ms:
        recovery.finish_recovery(state, job, now_ms)
    if job.state == "forwarded":
        ownership.forward_or_take_over(state, job, now_ms)
    if now_ms >= job.deadline_ms and not job.is_final():
        expire_job(state, job, now_ms)


def expire_job(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """End a job at its deadline with the outcomes that are known."""
    if job.state != "running":
        job.reason = "deadline; the owner's answer is not known"
        end_job(state, job, "lose", now_ms)
        return
    for task in list(job.tasks.values()):
        if task.is_final():
            continue
        for agent in task.attempt_by_agent:
            state.unsent_cancels.setdefault(agent, set()).add(job.spec.submission)
        if task.state == "waiting":
            end_waiting_task(state, task, "expire", "deadline", now_ms)
            continue
        end_task(state, task, "lose", "deadline; an attempt may have run", now_ms)


def forward_or_take_over_jobs(state: EntryState, now_ms: int) -> None:
    """Forward jobs over new links, or take them over from lost owners."""
    for job in list(state.live_jobs.values()):
        if job.state == "forwarded":
            ownership.forward_or_take_over(state, job, now_ms)


def send_cancels(state: EntryState) -> None:
    """Send the collected cancellations as one message per agent."""
    for agent, submissions in state.unsent_cancels.items():
        state.counters["cancels"] += 1
        state.effects.append(Send(agent, wire.Cancel(tuple(sorted(submissions)))))
    state.unsent_cancels.clear()


def run_periodic_work(state: EntryState, now_ms: int) -> None:
    """Check agents at one interval; send digests and remove old state at another."""
    if now_ms >= state.next_agent_check_ms:
        state.next_agent_check_ms = now_ms + AGENT_CHECK_INTERVAL_MS
        agents.check_silence(state, now_ms)
        sort_agents_by_speed(state)
    if now_ms >= state.next_digest_ms:
        state.next_digest_ms = now_ms + state.policy.digest_interval_ms
        peers.send_digests(state)
        peers.remove_silent_peers(state, now_ms)
        state.claims.purge(now_ms)
        purge_jobs(state, now_ms)


def purge_jobs(state: EntryState, now_ms: int) -> None:
    """Remove final jobs that are too old, and the oldest beyond ``job_limit``.

    Tokens of forwarded jobs are removed once the job is final.
    """
    state.forward_tokens = {
        token: submission
        for token, submission in state.forward_tokens.items()
        if submission in state.live_jobs
    }
    kept_ms = state.policy.answer_retention_ms
    surplus = len(state.jobs) - state.policy.job_limit
    for submission, job in list(state.jobs.items()):
        expired = job.is_final() and now_ms - job.finished_at_ms > kept_ms
        if expired or (surplus > 0 and job.is_final()):
            del state.jobs[submission]
            surplus -= 1
        elif surplus <= 0 and job.is_final():
            break


def measure_completion_rate(state: EntryState, now_ms: int) -> None:
    """Measure how many tasks complete per millisecond while some wait."""
    window_ms = now_ms - state.rate_window_start_ms
    if window_ms < RATE_WINDOW_MS:
        return
    if state.queue.waiting and state.rate_window_start_ms:
        state.completions_per_ms.add(state.completed_in_window / window_ms)
    state.rate_window_start_ms = now_ms
    state.completed_in_window = 0
