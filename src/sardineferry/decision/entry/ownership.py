"""Decides, from the claims read back, who runs a submission.

The owner runs it. Another entry forwards to the owner, and takes over with
the next epoch when the owner is gone: agents then refuse the old epoch and
tell what they started.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.effects import Send
from sardineferry.decision.entry import claiming
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry.outcomes import end_job
from sardineferry.messages import wire

if TYPE_CHECKING:
    from sardineferry.decision.claims import Claim
    from sardineferry.decision.entry.jobs import TrackedJob
    from sardineferry.decision.entry.state import EntryState

__all__ = ["apply_claim", "check_forwarded", "claim_or_forward", "receive_answer"]


def claim_or_forward(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Claim a submission, or forward it to its known owner."""
    job.advance("claim")
    claim = state.claims.find(job.spec.submission)
    if claim is not None and not claiming.is_own_claim(state, claim):
        forward(state, job, now_ms)
        return
    claiming.request_claim(state, job, now_ms)


def apply_claim(state: EntryState, job: TrackedJob, now_ms: int) -> bool:
    """Act on the claim in force; tell whether the job may be admitted."""
    claim = state.claims.find(job.spec.submission)
    if claim is None:
        return False
    if not claiming.is_own_claim(state, claim):
        lose_ownership(state, job, now_ms)
        return False
    if job.state not in ("claiming", "recovering") or job.inquired_agents:
        return False
    if claim.epoch != job.epoch:
        claiming.request_claim(state, job, now_ms)
        return False
    job.claim_deadline_ms = 0
    job.roster = claim.current_roster
    if job.no_earlier_claim:
        return True
    if job.state == "claiming":
        job.advance("recover")
    recovery.ask_agents(state, job, claim, now_ms)
    return False


def lose_ownership(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Forward a job that another entry owns.

    What this entry has in flight is refused by agents that know the later
    epoch; the new owner learns of the rest from their start tables.
    """
    if job.state == "forwarded" or job.is_final():
        return
    if not job.needs_claim:
        return
    for task in job.tasks.values():
        if not task.is_final():
            recovery.forget_attempts(state, task)
    forward(state, job, now_ms)


def forward(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Pass a job to its owner, now or once a link to it is open."""
    job.advance("forward")
    job.claim_deadline_ms = 0
    job.recovery_deadline_ms = 0
    job.inquired_agents = frozenset()
    job.forwarded_at_ms = now_ms
    job.forward_link = ""
    state.counters["forwards"] += 1
    check_forwarded(state, job, now_ms)


def check_forwarded(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Send a forwarded job over a new link, or take over from a lost owner."""
    claim = state.claims.find(job.spec.submission)
    if claim is None:
        return
    if is_owner_gone(state, job, claim, now_ms):
        take_over(state, job, now_ms)
        return
    peer = state.peers.get(claim.entry)
    if peer is None or not peer.link or peer.incarnation != claim.incarnation:
        return
    if job.forward_link == peer.link:
        return
    job.forward_link = peer.link
    forwarded = job.spec._replace(budget_ms=max(1, job.deadline_ms - now_ms))
    token = state.next_id()
    state.forward_tokens[token] = forwarded.submission
    state.effects.append(Send(peer.link, wire.Forward(token, forwarded)))


def is_owner_gone(
    state: EntryState, job: TrackedJob, claim: Claim, now_ms: int
) -> bool:
    """Tell whether the owner restarted or has been silent for too long."""
    if claim.entry == state.name:
        return claim.incarnation != state.incarnation
    peer = state.peers.get(claim.entry)
    timeout_ms = state.policy.peer_timeout_ms
    if peer is not None and peer.link and peer.incarnation != claim.incarnation:
        return True
    # A claim read just now is a sign of life too: two entries that are cut off
    # from each other must not take a job from each other again and again.
    heard_ms = max(job.forwarded_at_ms if peer is None else 0, claim.seen_at_ms)
    if peer is not None:
        heard_ms = max(heard_ms, peer.last_heard_ms)
    return now_ms - heard_ms > timeout_ms


def take_over(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Claim the next epoch of a submission whose owner is gone."""
    job.advance("recover")
    job.no_earlier_claim = False
    state.counters["takeovers"] += 1
    claiming.request_claim(state, job, now_ms)


def receive_answer(state: EntryState, event: wire.Forwarded, now_ms: int) -> None:
    """Pass the owner's answer to who waits here."""
    submission = state.forward_tokens.pop(event.token, "")
    job = state.live_jobs.get(submission)
    if job is None or job.state != "forwarded":
        return
    job.owner_answer = event.answer
    events = {"complete": "complete", "failed": "fail", "not_run": "refuse"}
    end_job(state, job, events.get(event.answer.state, "lose"), now_ms)
