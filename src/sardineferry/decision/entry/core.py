"""Drives the entry's decisions: one event in, effects out."""

from __future__ import annotations

from functools import singledispatch

from sardineferry.decision import events
from sardineferry.decision.claims import CLAIM_STREAM
from sardineferry.decision.effects import DumpAnswer
from sardineferry.decision.effects import Effect
from sardineferry.decision.effects import Exit
from sardineferry.decision.effects import Send
from sardineferry.decision.entry import admission
from sardineferry.decision.entry import claiming
from sardineferry.decision.entry import members
from sardineferry.decision.entry import ownership
from sardineferry.decision.entry import peers
from sardineferry.decision.entry import presets
from sardineferry.decision.entry import recovery
from sardineferry.decision.entry import results
from sardineferry.decision.entry import timers
from sardineferry.decision.entry.jobs import Waiter
from sardineferry.decision.entry.jobs import whole_answer
from sardineferry.decision.entry.outcomes import answer_waiter
from sardineferry.decision.entry.outcomes import give_up
from sardineferry.decision.entry.routing import dispatch
from sardineferry.decision.entry.state import EntryState
from sardineferry.decision.preset import CONFIG_STREAM
from sardineferry.decision.preset import Preset
from sardineferry.messages import wire
from sardineferry.messages.job import JobAnswer

__all__ = ["EntryCore"]


BUSY_TICK_MS = 20
IDLE_TICK_MS = 200


class EntryCore:
    """The entry's state and its rules."""

    def __init__(self, state: EntryState) -> None:
        """Drive this state."""
        self.state = state

    def handle(self, event: object, sender: str, now_ms: int) -> list[Effect]:
        """Apply an event from a link (``sender``) or from the process."""
        handle_event(event, self.state, sender, now_ms)
        claiming.flush_claims(self.state, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[Effect]:
        """Apply what is due by the clock."""
        timers.tick(self.state, now_ms)
        if self.state.leaving and not self.state.live_jobs:
            self.state.effects.append(Exit("drained"))
        return self.take_effects()

    def tick_interval_ms(self) -> int:
        """Return how long the next tick may wait."""
        state = self.state
        busy = state.live_jobs or state.claim_batch or state.preset_changes
        return BUSY_TICK_MS if busy or state.leaving else IDLE_TICK_MS

    def take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects


@singledispatch
def handle_event(event: object, state: EntryState, sender: str, now_ms: int) -> None:
    """Apply an event; unknown kinds are a programming error."""
    raise TypeError(f"no rule for {type(event).__name__}")


@handle_event.register
def on_submit(
    event: events.Submit, state: EntryState, sender: str, now_ms: int
) -> None:
    """Take a caller's job."""
    admission.submit(state, event.job, Waiter(event.token), now_ms)


@handle_event.register
def on_forward(
    event: wire.Forward, state: EntryState, sender: str, now_ms: int
) -> None:
    """Take a job that a peer forwarded."""
    admission.submit(state, event.job, Waiter(event.token, sender), now_ms)


@handle_event.register
def on_forwarded(
    event: wire.Forwarded, state: EntryState, sender: str, now_ms: int
) -> None:
    """Pass on the owner's answer."""
    ownership.receive_answer(state, event, now_ms)


@handle_event.register
def on_poll(event: events.PollJob, state: EntryState, sender: str, now_ms: int) -> None:
    """Answer with the job's state, now or at its end."""
    waiter = Waiter(event.token)
    known = state.jobs.get(event.submission)
    if known is None:
        answer = JobAnswer(event.submission, "unknown", "not known here", 0, ())
        answer_waiter(state, waiter, answer)
        return
    if event.wait and not known.is_final():
        known.waiters.append(waiter)
        return
    answer_waiter(state, waiter, whole_answer(known))


@handle_event.register
def on_cancel(
    event: events.CancelJob, state: EntryState, sender: str, now_ms: int
) -> None:
    """End what waits of a job; collect what agents must drop."""
    known = state.jobs.get(event.submission)
    if known is None:
        answer = JobAnswer(event.submission, "unknown", "not known here", 0, ())
        answer_waiter(state, Waiter(event.token), answer)
        return
    known.cancelled = True
    known.waiters.append(Waiter(event.token))
    if known.is_final():
        known.waiters.pop()
        answer_waiter(state, Waiter(event.token), whole_answer(known))
        return
    for task in list(known.tasks.values()):
        for agent in task.placed:
            state.cancels.setdefault(agent, set()).add(event.submission)
        if task.state == "waiting" and known.state == "running":
            give_up(state, task, "cancel", "cancelled", now_ms)


@handle_event.register
def on_announce(
    event: wire.Announce, state: EntryState, sender: str, now_ms: int
) -> None:
    """Welcome an agent."""
    members.announce(state, event, now_ms)
    dispatch(state, now_ms)


@handle_event.register
def on_heartbeat(
    event: wire.Heartbeat, state: EntryState, sender: str, now_ms: int
) -> None:
    """Renew the agent's lease."""
    member = state.members.get(sender)
    if member is None:
        return
    members.hear(state, member, now_ms)
    state.members[sender].note_load(event.load, now_ms)
    state.effects.append(Send(sender, wire.LeaseEcho(event.sent_at_ms)))


@handle_event.register
def on_done(event: wire.Done, state: EntryState, sender: str, now_ms: int) -> None:
    """Take the result of an attempt."""
    member = state.members.get(sender)
    if member is None:
        return
    member.last_heard_ms = now_ms
    results.receive_done(state, member, event, now_ms)


@handle_event.register
def on_refused(
    event: wire.Refused, state: EntryState, sender: str, now_ms: int
) -> None:
    """Route a task elsewhere."""
    member = state.members.get(sender)
    if member is None:
        return
    member.last_heard_ms = now_ms
    results.receive_refusal(state, member, event, now_ms)


@handle_event.register
def on_leaving(
    event: wire.Leaving, state: EntryState, sender: str, now_ms: int
) -> None:
    """Send nothing more to an agent."""
    member = state.members.get(sender)
    if member is not None:
        members.leave(state, member)


@handle_event.register
def on_report(event: wire.Report, state: EntryState, sender: str, now_ms: int) -> None:
    """Collect an agent's rows for a job under recovery."""
    member = state.members.get(sender)
    entry = state.live_jobs.get(event.submission)
    if member is None or entry is None or not entry.recovery_until_ms:
        return
    if event.epoch != entry.epoch:
        return
    recovery.note_report(entry, member, event)
    if recovery.is_complete(entry):
        recovery.conclude(state, entry, now_ms)
        dispatch(state, now_ms)


@handle_event.register
def on_link_up(
    event: events.LinkUp, state: EntryState, sender: str, now_ms: int
) -> None:
    """Greet the entry at the far end of a dialled link."""
    state.dialled.add(event.name)
    state.effects.append(Send(event.name, peers.hello(state)))


@handle_event.register
def on_link_down(
    event: events.LinkDown, state: EntryState, sender: str, now_ms: int
) -> None:
    """Note the loss of an agent's or a peer's link."""
    state.dialled.discard(event.name)
    member = state.members.get(event.name)
    if member is not None:
        members.disconnect(state, member)
    peers.peer_down(state, event.name)


@handle_event.register
def on_peer_hello(
    event: wire.PeerHello, state: EntryState, sender: str, now_ms: int
) -> None:
    """Learn of a peer and pass on what waits for it."""
    peers.greet(state, event, sender, sender in state.dialled, now_ms)
    timers.check_forwards(state, now_ms)


@handle_event.register
def on_peer_digest(
    event: wire.PeerDigest, state: EntryState, sender: str, now_ms: int
) -> None:
    """Keep what a peer told."""
    peers.take_digest(state, event, now_ms)


@handle_event.register
def on_entry_leaving(
    event: wire.EntryLeaving, state: EntryState, sender: str, now_ms: int
) -> None:
    """Note that a peer takes no more submissions."""
    peer = state.peers.get(event.entry)
    if peer is not None:
        peer.leaving = True


@handle_event.register
def on_preset_notice(
    event: wire.PresetNotice, state: EntryState, sender: str, now_ms: int
) -> None:
    """Adopt a preset that a peer tells."""
    presets.adopt(state, Preset(event.version, event.name), now_ms)


@handle_event.register
def on_set_preset(
    event: events.SetPreset, state: EntryState, sender: str, now_ms: int
) -> None:
    """Change the preset for an operator."""
    presets.change(state, event, now_ms)


@handle_event.register
def on_log_records(
    event: events.LogRecords, state: EntryState, sender: str, now_ms: int
) -> None:
    """Apply records in order of offset."""
    for record in event.records:
        if event.stream == CONFIG_STREAM:
            presets.fold(state, record, event.first_offset, now_ms)
        if event.stream == CLAIM_STREAM:
            fold_claims(state, record, now_ms)


def fold_claims(state: EntryState, record: events.LogRecord, now_ms: int) -> None:
    """Apply a record of claims and decide the jobs that it names."""
    claiming.settle_batch(state, record.record_id)
    for submission in state.claims.fold(record, now_ms):
        entry = state.live_jobs.get(submission)
        if entry is not None and ownership.resolve(state, entry, now_ms):
            admission.admit(state, entry, now_ms)


@handle_event.register
def on_append_failed(
    event: events.AppendFailed, state: EntryState, sender: str, now_ms: int
) -> None:
    """Repeat an append whose outcome is not known."""
    if event.stream == CLAIM_STREAM:
        claiming.append_failed(state, event.record_id, now_ms)
    else:
        presets.append_failed(state, event.record_id, now_ms)


@handle_event.register
def on_drain(event: events.Drain, state: EntryState, sender: str, now_ms: int) -> None:
    """Take no more submissions; what is in flight is finished."""
    state.leaving = True
    notice = wire.EntryLeaving(state.name)
    state.effects.extend(
        Send(member.name, notice) for member in state.members.values() if member.linked
    )
    state.effects.extend(
        Send(peer.link, notice) for peer in state.peers.values() if peer.link
    )


@handle_event.register
def on_dump_agent(
    event: events.DumpAgent, state: EntryState, sender: str, now_ms: int
) -> None:
    """Ask an agent for its state."""
    member = state.members.get(event.agent)
    if member is None or not member.linked:
        state.effects.append(DumpAnswer(event.token, ""))
        return
    state.dumps.add(event.token)
    state.effects.append(Send(event.agent, wire.DumpRequest(event.token)))


@handle_event.register
def on_dump_reply(
    event: wire.DumpReply, state: EntryState, sender: str, now_ms: int
) -> None:
    """Pass an agent's state to the operator."""
    if event.token in state.dumps:
        state.dumps.discard(event.token)
        state.effects.append(DumpAnswer(event.token, event.text))


@handle_event.register
def on_drain_agent(
    event: events.DrainAgent, state: EntryState, sender: str, now_ms: int
) -> None:
    """Ask an agent to drain and leave."""
    member = state.members.get(event.agent)
    if member is None or not member.linked:
        state.effects.append(DumpAnswer(event.token, ""))
        return
    state.effects.append(Send(event.agent, wire.DrainRequest("operator")))
    state.effects.append(DumpAnswer(event.token, '{"drained":true}'))
