"""Drives the agent's decisions: one event in, effects out."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from sardineferry.decision import events
from sardineferry.decision.agent import starts
from sardineferry.decision.agent.dump import dump_agent
from sardineferry.decision.agent.state import AgentState
from sardineferry.decision.agent.state import EntryLink
from sardineferry.decision.cost import task_units
from sardineferry.decision.effects import Connect
from sardineferry.decision.effects import Disconnect
from sardineferry.decision.effects import Effect
from sardineferry.decision.effects import Exit
from sardineferry.decision.effects import Send
from sardineferry.decision.effects import StopTask
from sardineferry.decision.preset import Preset
from sardineferry.messages import wire
from sardineferry.messages.job import Attempt

if TYPE_CHECKING:
    from sardineferry.messages.target import TargetShape

__all__ = ["AgentCore"]

PURGE_INTERVAL_MS = 5_000
TICK_MS = 250
LEAVING_TICK_MS = 50


class AgentCore:
    """The agent's state and its rules."""

    def __init__(self, state: AgentState) -> None:
        """Drive this state."""
        self.state = state

    def handle(self, event: object, sender: str, now_ms: int) -> list[Effect]:
        """Apply an event from a link (``sender``) or from the process."""
        handle_event(event, self.state, sender, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[Effect]:
        """Apply what is due by the clock."""
        state = self.state
        if now_ms >= state.next_heartbeat_ms:
            state.next_heartbeat_ms = now_ms + state.policy.heartbeat_ms
            send_heartbeats(state, now_ms)
        if now_ms >= state.next_purge_ms:
            state.next_purge_ms = now_ms + PURGE_INTERVAL_MS
            state.table.purge(now_ms)
            forget_entries(state, now_ms)
        if state.leaving and not state.running and not state.queue:
            state.effects.append(Exit("drained"))
        return self.take_effects()

    def conclude(self, _now_ms: int) -> list[Effect]:
        """Do nothing: each event is acted on by itself."""
        return []

    def tick_interval_ms(self) -> int:
        """Return how long the next tick may wait."""
        return LEAVING_TICK_MS if self.state.leaving else TICK_MS

    def take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects


def send_heartbeats(state: AgentState, now_ms: int) -> None:
    """Send a heartbeat, stamped by this clock, to each linked entry."""
    beat = wire.Heartbeat(now_ms, state.load())
    state.effects.extend(Send(name, beat) for name in state.links)


def forget_entries(state: AgentState, now_ms: int) -> None:
    """Stop dialling learned entries that have not answered for long.

    Instances are replaced under new addresses; those of the settings stay.
    """
    for address in state.links:
        if address in state.learned:
            state.learned[address] = now_ms
    for address, seen_ms in list(state.learned.items()):
        if now_ms - seen_ms > state.policy.forget_ms:
            del state.learned[address]
            state.known_addresses.discard(address)
            state.effects.append(Disconnect(address))


@singledispatch
def handle_event(event: object, state: AgentState, sender: str, now_ms: int) -> None:
    """Apply an event; unknown kinds are a programming error."""
    raise TypeError(f"no rule for {type(event).__name__}")


@handle_event.register
def on_link_up(
    event: events.LinkUp, state: AgentState, sender: str, now_ms: int
) -> None:
    """Announce the target to the entry."""
    if event.name in state.links:
        del state.links[event.name]
    state.links[event.name] = EntryLink(now_ms + state.policy.lease_ms)
    announce = wire.Announce(
        state.name,
        state.incarnation,
        state.data_centre,
        state.shape,
        state.preset.version,
    )
    state.effects.append(Send(event.name, announce))
    beat = wire.Heartbeat(now_ms, state.load())
    state.effects.append(Send(event.name, beat))
    if state.leaving:
        state.effects.append(Send(event.name, wire.Leaving("draining")))


@handle_event.register
def on_link_down(
    event: events.LinkDown, state: AgentState, sender: str, now_ms: int
) -> None:
    """Forget the entry; what it started goes on."""
    state.links.pop(event.name, None)


@handle_event.register
def on_welcome(
    event: wire.Welcome, state: AgentState, sender: str, now_ms: int
) -> None:
    """Learn of the preset and of other entries."""
    adopt_preset(state, Preset(event.preset_version, event.preset_name))
    for address in event.addresses:
        room = len(state.known_addresses) < state.policy.max_entries
        if address not in state.known_addresses and room:
            state.known_addresses.add(address)
            state.learned[address] = now_ms
            state.effects.append(Connect(address))


def adopt_preset(state: AgentState, preset: Preset) -> None:
    """Adopt a preset of a higher version only."""
    if preset.version > state.preset.version:
        state.preset = preset


@handle_event.register
def on_preset(
    event: wire.PresetNotice, state: AgentState, sender: str, now_ms: int
) -> None:
    """Adopt the preset that an entry tells."""
    adopt_preset(state, Preset(event.version, event.name))


@handle_event.register
def on_lease_echo(
    event: wire.LeaseEcho, state: AgentState, sender: str, now_ms: int
) -> None:
    """Renew the lease from the moment the heartbeat was sent."""
    link = state.links.get(sender)
    if link is None:
        return
    until_ms = event.sent_at_ms + state.policy.lease_ms
    link.lease_until_ms = max(link.lease_until_ms, until_ms)


@handle_event.register
def on_start(event: wire.Start, state: AgentState, sender: str, now_ms: int) -> None:
    """Run, queue or refuse a task.

    A start for an earlier incarnation is not refused: that one may have
    started it, and a refusal would tell that nobody did.
    """
    if event.incarnation != state.incarnation:
        state.counters["misdirected_starts"] += 1
        return
    starts.receive_start(state, sender, event, now_ms)


@handle_event.register
def on_revoke(event: wire.Revoke, state: AgentState, sender: str, now_ms: int) -> None:
    """Prevent attempts that have not started."""
    for task, number in event.attempts:
        attempt = Attempt(event.submission, task, number)
        starts.revoke(state, sender, attempt, now_ms)


@handle_event.register
def on_cancel(event: wire.Cancel, state: AgentState, sender: str, now_ms: int) -> None:
    """Drop what is queued and stop idempotent tasks of the submissions."""
    for submission in event.submissions:
        starts.drop_unstarted(state, submission)
        state.effects.extend(
            StopTask(row.attempt)
            for row in state.running.values()
            if row.attempt.submission == submission and row.task and row.task.idempotent
        )


@handle_event.register
def on_inquire(
    event: wire.Inquire, state: AgentState, sender: str, now_ms: int
) -> None:
    """Fence lower epochs and report the submission's rows."""
    held = state.table.open(event.submission, now_ms + state.policy.horizon_ms)
    if event.epoch < held.epoch:
        return
    held.epoch = event.epoch
    starts.drop_unstarted(state, event.submission)
    for row in held.rows.values():
        row.reply_to = sender
    rows = tuple(
        wire.ReportedTask(name, row.attempt.number, row.result)
        for name, row in held.rows.items()
        if row.state in ("running", "finished")
    )
    report = wire.Report(event.submission, event.epoch, rows)
    state.effects.append(Send(sender, report))


@handle_event.register
def on_target_finished(
    event: events.TargetFinished, state: AgentState, sender: str, now_ms: int
) -> None:
    """Answer the entry."""
    starts.finish(state, event.attempt, event.result, now_ms)


@handle_event.register
def on_target_refused(
    event: events.TargetRefused, state: AgentState, sender: str, now_ms: int
) -> None:
    """Tell the entry that the target did not start the task."""
    starts.release_refused(state, event.attempt, event.reason, now_ms)


@handle_event.register
def on_usage(
    event: events.UsageReported, state: AgentState, sender: str, now_ms: int
) -> None:
    """Correct declared sizes, and relieve an overcommitted worker."""
    for item in event.tasks:
        row = state.running.get((item.attempt.submission, item.attempt.task))
        if row is None or row.task is None:
            continue
        declared = task_units(row.task, state.shape)
        used = used_units(item, state.shape)
        state.usage.learn(row.task.kind, declared, used)
    relief = state.usage.relieve(event, state.shape, state.running)
    if relief is not None:
        state.counters["reliefs"] += 1
        state.effects.append(relief)


def used_units(item: events.TaskUsage, shape: TargetShape) -> float:
    """Return measured use in units."""
    if shape.memory_mb == 0:
        return item.processors
    memory_share = item.memory_mb * shape.processors / shape.memory_mb
    return max(item.processors, memory_share)


@handle_event.register
def on_drain(event: events.Drain, state: AgentState, sender: str, now_ms: int) -> None:
    """Stop taking tasks; what runs is finished and answered."""
    if state.leaving:
        return
    state.leaving = True
    state.effects.extend(Send(name, wire.Leaving(event.reason)) for name in state.links)
    starts.refuse_queue(state, "leaving")


@handle_event.register
def on_drain_request(
    event: wire.DrainRequest, state: AgentState, sender: str, now_ms: int
) -> None:
    """Drain at an operator's request."""
    on_drain(events.Drain(event.reason), state, sender, now_ms)


@handle_event.register
def on_entry_leaving(
    event: wire.EntryLeaving, state: AgentState, sender: str, now_ms: int
) -> None:
    """Note that an entry takes no more submissions; its tasks go on."""
    state.counters["entries_left"] += 1


@handle_event.register
def on_dump(
    event: wire.DumpRequest, state: AgentState, sender: str, now_ms: int
) -> None:
    """Send the state to the operator's entry."""
    reply = wire.DumpReply(event.token, dump_agent(state))
    state.effects.append(Send(sender, reply))
