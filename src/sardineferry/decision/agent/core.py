"""The decision core of an agent: takes events, returns effects."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from sardineferry.decision import events
from sardineferry.decision.agent import starts
from sardineferry.decision.agent.dump import dump_agent
from sardineferry.decision.agent.state import AgentState
from sardineferry.decision.agent.state import EntryLink
from sardineferry.decision.capacity_units import task_units
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

# Time between two purges of the start table and of learned addresses without a link.
PURGE_INTERVAL_MS = 5_000
# Heartbeats and purges that are due wait for the next tick, at most for this time.
TICK_INTERVAL_MS = 250
# While draining, each tick also checks whether the last task has ended. The interval
# is shorter, so that the agent exits soon after that.
LEAVING_TICK_INTERVAL_MS = 50


class AgentCore:
    """Applies events and the clock to an agent's state and returns the effects."""

    def __init__(self, state: AgentState) -> None:
        """Use this state."""
        self.state = state

    def handle(self, event: object, sender: str, now_ms: int) -> list[Effect]:
        """Apply an event of the link ``sender``, or of the process if that is empty."""
        handle_event(event, self.state, sender, now_ms)
        return self.take_effects()

    def tick(self, now_ms: int) -> list[Effect]:
        """Send due heartbeats, purge expired state, and exit once drained."""
        state = self.state
        if now_ms >= state.next_heartbeat_ms:
            state.next_heartbeat_ms = now_ms + state.policy.heartbeat_interval_ms
            send_heartbeats(state, now_ms)
        if now_ms >= state.next_purge_ms:
            state.next_purge_ms = now_ms + PURGE_INTERVAL_MS
            state.table.purge(now_ms)
            forget_unlinked_addresses(state, now_ms)
        if state.leaving and not state.running and not state.queue:
            state.effects.append(Exit("drained"))
        return self.take_effects()

    def conclude(self, _now_ms: int, _inputs_ms: int) -> list[Effect]:
        """Return no effects: ``handle`` already acts on each event."""
        return []

    def tick_interval_ms(self) -> int:
        """Return the longest time until the next tick."""
        return LEAVING_TICK_INTERVAL_MS if self.state.leaving else TICK_INTERVAL_MS

    def take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects


def send_heartbeats(state: AgentState, now_ms: int) -> None:
    """Send each linked entry a heartbeat with this agent's clock time."""
    heartbeat = wire.Heartbeat(now_ms, state.load())
    state.effects.extend(Send(name, heartbeat) for name in state.links)


def forget_unlinked_addresses(state: AgentState, now_ms: int) -> None:
    """Stop dialling learned addresses that have had no link for too long.

    A replaced instance gets a new address, so the old one is never reached
    again. Addresses from the settings are kept.
    """
    for address in state.links:
        if address in state.learned_last_linked_ms:
            state.learned_last_linked_ms[address] = now_ms
    for address, last_linked_ms in list(state.learned_last_linked_ms.items()):
        if now_ms - last_linked_ms > state.policy.learned_entry_timeout_ms:
            del state.learned_last_linked_ms[address]
            state.known_addresses.discard(address)
            state.effects.append(Disconnect(address))


@singledispatch
def handle_event(event: object, state: AgentState, sender: str, now_ms: int) -> None:
    """Apply an event to the agent's state.

    Raises:
        TypeError: No handler is registered for the type of the event.

    """
    raise TypeError(f"no handler for event {type(event).__name__}")


@handle_event.register
def on_link_up(
    event: events.LinkUp, state: AgentState, sender: str, now_ms: int
) -> None:
    """Announce the target to the entry and grant the first lease."""
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
    heartbeat = wire.Heartbeat(now_ms, state.load())
    state.effects.append(Send(event.name, heartbeat))
    if state.leaving:
        state.effects.append(Send(event.name, wire.Leaving("draining")))


@handle_event.register
def on_send_rejected(
    event: events.SendRejected, state: AgentState, sender: str, now_ms: int
) -> None:
    """Count a message that was not sent; entries find out by time limits."""
    state.counters["messages_rejected"] += 1


@handle_event.register
def on_link_down(
    event: events.LinkDown, state: AgentState, sender: str, now_ms: int
) -> None:
    """Remove the entry's link; tasks that it started keep running."""
    state.links.pop(event.name, None)


@handle_event.register
def on_welcome(
    event: wire.Welcome, state: AgentState, sender: str, now_ms: int
) -> None:
    """Adopt the entry's preset and dial other entries that it names."""
    adopt_preset(state, Preset(event.preset_version, event.preset_name))
    for address in event.addresses:
        below_limit = len(state.known_addresses) < state.policy.max_known_entries
        if address not in state.known_addresses and below_limit:
            state.known_addresses.add(address)
            state.learned_last_linked_ms[address] = now_ms
            state.effects.append(Connect(address))


def adopt_preset(state: AgentState, preset: Preset) -> None:
    """Adopt the preset if its version is higher than the current one."""
    if preset.version > state.preset.version:
        state.preset = preset


@handle_event.register
def on_preset_notice(
    event: wire.PresetNotice, state: AgentState, sender: str, now_ms: int
) -> None:
    """Adopt the preset that an entry announces."""
    adopt_preset(state, Preset(event.version, event.name))


@handle_event.register
def on_lease_echo(
    event: wire.LeaseEcho, state: AgentState, sender: str, now_ms: int
) -> None:
    """Renew the entry's lease, counted from when the heartbeat was sent.

    Counting from the arrival of the echo would make a delayed echo extend the
    lease.
    """
    link = state.links.get(sender)
    if link is None:
        return
    until_ms = event.sent_at_ms + state.policy.lease_ms
    link.lease_until_ms = max(link.lease_until_ms, until_ms)


@handle_event.register
def on_start(event: wire.Start, state: AgentState, sender: str, now_ms: int) -> None:
    """Run, queue or refuse a task.

    A start meant for an earlier incarnation of this agent is ignored. That
    incarnation may have started the task, and a refusal would claim that it
    was never started.
    """
    if event.incarnation != state.incarnation:
        state.counters["misdirected_starts"] += 1
        return
    starts.receive_start(state, sender, event, now_ms)


@handle_event.register
def on_revoke(event: wire.Revoke, state: AgentState, sender: str, now_ms: int) -> None:
    """Ensure that attempts which have not started never start."""
    for task, number in event.attempts:
        attempt = Attempt(event.submission, task, number)
        starts.revoke(state, sender, attempt, now_ms)


@handle_event.register
def on_cancel(event: wire.Cancel, state: AgentState, sender: str, now_ms: int) -> None:
    """Refuse queued tasks and stop running idempotent ones."""
    for submission in event.submissions:
        starts.refuse_queued_of_submission(state, submission)
        state.effects.extend(
            StopTask(row.attempt)
            for row in state.running.values()
            if row.attempt.submission == submission and row.task and row.task.idempotent
        )


@handle_event.register
def on_inquire(
    event: wire.Inquire, state: AgentState, sender: str, now_ms: int
) -> None:
    """Report the submission's started tasks and fence off lower epochs.

    From then on, starts with a lower epoch are refused, and results go to the
    entry that asked.
    """
    record = state.table.get_or_create(
        event.submission, now_ms + state.policy.row_retention_ms
    )
    if event.epoch < record.epoch:
        return
    record.epoch = event.epoch
    starts.refuse_queued_of_submission(state, event.submission)
    for row in record.rows.values():
        row.reply_to = sender
    rows = tuple(
        wire.ReportedTask(name, row.attempt.number, row.result)
        for name, row in record.rows.items()
        if row.state in ("running", "finished")
    )
    report = wire.Report(event.submission, event.epoch, rows)
    state.effects.append(Send(sender, report))


@handle_event.register
def on_target_finished(
    event: events.TargetFinished, state: AgentState, sender: str, now_ms: int
) -> None:
    """Record the result and send it to the entry."""
    starts.finish_task(state, event.attempt, event.result, now_ms)


@handle_event.register
def on_target_refused(
    event: events.TargetRefused, state: AgentState, sender: str, now_ms: int
) -> None:
    """Record that the target did not start the task, and refuse it to the entry."""
    starts.record_target_refusal(state, event.attempt, event.reason, now_ms)


@handle_event.register
def on_usage(
    event: events.UsageReported, state: AgentState, sender: str, now_ms: int
) -> None:
    """Learn the actual sizes of tasks; act if the worker is overcommitted."""
    for item in event.tasks:
        row = state.running.get((item.attempt.submission, item.attempt.task))
        if row is None or row.task is None:
            continue
        declared = task_units(row.task, state.shape)
        used = measured_units(item, state.shape)
        state.usage.add_measurement(row.task.kind, declared, used)
    action = state.usage.next_overload_action(event, state.shape, state.running)
    if action is not None:
        state.counters["reliefs"] += 1
        state.effects.append(action)


def measured_units(item: events.TaskUsage, shape: TargetShape) -> float:
    """Return a task's measured use in capacity units."""
    if shape.memory_mb == 0:
        return item.processors
    memory_share = item.memory_mb * shape.processors / shape.memory_mb
    return max(item.processors, memory_share)


@handle_event.register
def on_drain(event: events.Drain, state: AgentState, sender: str, now_ms: int) -> None:
    """Start to drain: refuse new and queued tasks; running ones may finish."""
    if state.leaving:
        return
    state.leaving = True
    state.effects.extend(Send(name, wire.Leaving(event.reason)) for name in state.links)
    starts.refuse_queue(state, "leaving")


@handle_event.register
def on_drain_request(
    event: wire.DrainRequest, state: AgentState, sender: str, now_ms: int
) -> None:
    """Drain because an operator asked for it."""
    on_drain(events.Drain(event.reason), state, sender, now_ms)


@handle_event.register
def on_entry_leaving(
    event: wire.EntryLeaving, state: AgentState, sender: str, now_ms: int
) -> None:
    """Count an entry that accepts no more submissions; its tasks keep running."""
    state.counters["entries_left"] += 1


@handle_event.register
def on_dump_request(
    event: wire.DumpRequest, state: AgentState, sender: str, now_ms: int
) -> None:
    """Send the agent's state to the entry that an operator asked."""
    reply = wire.DumpReply(event.token, dump_agent(state))
    state.effects.append(Send(sender, reply))
