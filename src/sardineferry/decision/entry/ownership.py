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
    from sardineferry.decision.entry.jobs import JobEntry
    from sardineferry.decision.entry.state import EntryState

__all__ = ["begin", "check_forwarded", "receive_answer", "resolve"]


def begin(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Claim a submission, or forward it to its known owner."""
    entry.advance("claim")
    claim = state.claims.find(entry.job.submission)
    if claim is not None and not claiming.holds(state, claim):
        forward(state, entry, now_ms)
        return
    claiming.request_claim(state, entry, now_ms)


def resolve(state: EntryState, entry: JobEntry, now_ms: int) -> bool:
    """Act on the claim in force; tell whether the job may be admitted."""
    claim = state.claims.find(entry.job.submission)
    if claim is None:
        return False
    if not claiming.holds(state, claim):
        lose_ownership(state, entry, now_ms)
        return False
    if entry.state not in ("claiming", "recovering") or entry.asked:
        return False
    if claim.epoch != entry.epoch:
        claiming.request_claim(state, entry, now_ms)
        return False
    entry.claim_until_ms = 0
    entry.roster = claim.current_roster
    if entry.fresh:
        return True
    if entry.state == "claiming":
        entry.advance("recover")
    recovery.inquire(state, entry, claim, now_ms)
    return False


def lose_ownership(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Forward a job that another entry owns.

    What this entry has in flight is refused by agents that know the later
    epoch; the new owner learns of the rest from their start tables.
    """
    if entry.state == "forwarded" or entry.is_final():
        return
    if not entry.needs_claim:
        return
    for task in entry.tasks.values():
        if not task.is_final():
            recovery.withdraw(state, task)
    forward(state, entry, now_ms)


def forward(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Pass a job to its owner, now or once a link to it is open."""
    entry.advance("forward")
    entry.claim_until_ms = 0
    entry.recovery_until_ms = 0
    entry.asked = frozenset()
    entry.forwarded_at_ms = now_ms
    entry.forward_link = ""
    state.counters["forwards"] += 1
    check_forwarded(state, entry, now_ms)


def check_forwarded(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Send a forwarded job over a new link, or take over from a lost owner."""
    claim = state.claims.find(entry.job.submission)
    if claim is None:
        return
    if is_gone(state, entry, claim, now_ms):
        take_over(state, entry, now_ms)
        return
    peer = state.peers.get(claim.entry)
    if peer is None or not peer.link or peer.incarnation != claim.incarnation:
        return
    if entry.forward_link == peer.link:
        return
    entry.forward_link = peer.link
    job = entry.job._replace(budget_ms=max(1, entry.deadline_ms - now_ms))
    token = state.next_id()
    state.forward_tokens[token] = job.submission
    state.effects.append(Send(peer.link, wire.Forward(token, job)))


def is_gone(state: EntryState, entry: JobEntry, claim: Claim, now_ms: int) -> bool:
    """Tell whether the owner restarted or has been silent for too long."""
    if claim.entry == state.name:
        return claim.incarnation != state.incarnation
    peer = state.peers.get(claim.entry)
    timeout_ms = state.policy.peer_timeout_ms
    if peer is not None and peer.link and peer.incarnation != claim.incarnation:
        return True
    # A claim read just now is a sign of life too: two entries that are cut off
    # from each other must not take a job from each other again and again.
    heard_ms = max(entry.forwarded_at_ms if peer is None else 0, claim.seen_at_ms)
    if peer is not None:
        heard_ms = max(heard_ms, peer.last_heard_ms)
    return now_ms - heard_ms > timeout_ms


def take_over(state: EntryState, entry: JobEntry, now_ms: int) -> None:
    """Claim the next epoch of a submission whose owner is gone."""
    entry.advance("recover")
    entry.fresh = False
    state.counters["takeovers"] += 1
    claiming.request_claim(state, entry, now_ms)


def receive_answer(state: EntryState, event: wire.Forwarded, now_ms: int) -> None:
    """Pass the owner's answer to who waits here."""
    submission = state.forward_tokens.pop(event.token, "")
    entry = state.live_jobs.get(submission)
    if entry is None or entry.state != "forwarded":
        return
    entry.answer = event.answer
    events = {"complete": "complete", "failed": "fail", "not_run": "refuse"}
    end_job(state, entry, events.get(event.answer.state, "lose"), now_ms)
