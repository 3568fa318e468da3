"""Decides by the claims in the shared log which entry runs a submission.

The owner of the valid claim runs it. Other entries forward the job to the
owner. When the owner is gone, one of them takes over by claiming the next
epoch: agents then refuse the earlier epoch and report what they started.
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

__all__ = ["apply_claim", "claim_or_forward", "forward_or_take_over", "receive_answer"]


def claim_or_forward(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Claim a submission, or forward it if another entry owns it."""
    job.advance("claim")
    claim = state.claims.find(job.spec.submission)
    if claim is not None and not claiming.is_own_claim(state, claim):
        forward(state, job, now_ms)
        return
    claiming.request_claim(state, job, now_ms)


def apply_claim(state: EntryState, job: TrackedJob, now_ms: int) -> bool:
    """Apply the valid claim to a job; return whether it may be admitted now.

    A job that this entry now owns is recovered first if another entry may have
    sent tasks of it.
    """
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
    """Forward a job to the entry that now owns it.

    Agents that know the later epoch refuse the attempts that are still on
    their way; the new owner learns of the others from the start tables.
    """
    if job.state == "forwarded" or job.is_final():
        return
    if not job.needs_claim:
        return
    for task in job.tasks.values():
        if not task.is_final():
            recovery.hand_over_task(state, task)
    forward(state, job, now_ms)


def forward(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Forward a job to its owner, now or once there is a link to it."""
    job.advance("forward")
    job.claim_deadline_ms = 0
    job.recovery_deadline_ms = 0
    job.inquired_agents = frozenset()
    job.forwarded_at_ms = now_ms
    job.forward_link = ""
    state.counters["forwards"] += 1
    forward_or_take_over(state, job, now_ms)


def forward_or_take_over(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Send the job to its owner, once on each link, or take it over if that is gone."""
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
    """Return whether the owner restarted or has been silent for too long."""
    if claim.entry == state.name:
        return claim.incarnation != state.incarnation
    peer = state.peers.get(claim.entry)
    timeout_ms = state.policy.peer_timeout_ms
    if peer is not None and peer.link and peer.incarnation != claim.incarnation:
        return True
    # A new claim counts as a message from the owner. Otherwise two entries
    # without a link to each other would take the job over from each other
    # again and again.
    heard_at_ms = max(job.forwarded_at_ms if peer is None else 0, claim.read_at_ms)
    if peer is not None:
        heard_at_ms = max(heard_at_ms, peer.last_heard_at_ms)
    return now_ms - heard_at_ms > timeout_ms


def take_over(state: EntryState, job: TrackedJob, now_ms: int) -> None:
    """Claim the next epoch of a submission whose owner is gone."""
    job.advance("recover")
    job.no_earlier_claim = False
    state.counters["takeovers"] += 1
    claiming.request_claim(state, job, now_ms)


def receive_answer(state: EntryState, event: wire.Forwarded, now_ms: int) -> None:
    """End a forwarded job with its owner's answer."""
    submission = state.forward_tokens.pop(event.token, "")
    job = state.live_jobs.get(submission)
    if job is None or job.state != "forwarded":
        return
    job.owner_answer = event.answer
    events = {"complete": "complete", "failed": "fail", "not_run": "refuse"}
    end_job(state, job, events.get(event.answer.state, "lose"), now_ms)
