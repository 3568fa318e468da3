"""Event handlers of the agent for its entries: links, heartbeats, capacity updates.

A capacity update tells an entry the free processors, memory and accelerators of
the worker.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from sardineferry.decision.burst import agent_membership
from sardineferry.decision.burst import agent_other_runs
from sardineferry.decision.burst import agent_profiles
from sardineferry.decision.burst import agent_runs
from sardineferry.decision.burst import agent_worker
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_dispatch import handle_agent_event
from sardineferry.decision.burst.agent_state import EntryView
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.common_effects import Send
from sardineferry.decision.common_events import Drain
from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.decision.common_events import SendRejected
from sardineferry.messages.burst import AgentBeat
from sardineferry.messages.burst import ConfigOffer
from sardineferry.messages.burst import ConfigPart
from sardineferry.messages.burst import ConfigRequest
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import EntryLeft
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import HeldRuns
from sardineferry.messages.burst import JobCancelled
from sardineferry.messages.burst import RelayedRuns
from sardineferry.messages.burst import WatchRoom
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.burst import WorkerRoom

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.messages.burst import Resources

__all__ = [
    "check_entries",
    "heartbeat_due_times",
    "send_due_capacity_updates",
    "send_due_heartbeats",
]

# Least time between two capacity updates to an entry that gets frequent ones. If an
# entry places tasks by outdated capacity, its order may be refused, which costs a
# round trip of about 3 ms.
CAPACITY_UPDATE_INTERVAL_MS = 4
# The interval is at least this times the number of entries that get frequent
# updates, so that the updates that each entry reads do not grow with the size of the
# deployment.
CAPACITY_UPDATE_INTERVAL_PER_ENTRY_MS = 3
# Least time between updates to an entry that gets no frequent ones: the first
# value, or the second times the number of linked entries if that is more. An entry
# with waiting jobs asks for frequent updates. With 35 entries and 160 workers, each
# linked to 11 entries, an entry reads about 70 such updates a second.
IDLE_CAPACITY_UPDATE_INTERVAL_MS = 300
IDLE_CAPACITY_UPDATE_INTERVAL_PER_ENTRY_MS = 50
# Decimals of the slowdown in an update, which is a logarithm: 0.01 is 1% of a run
# time.
SLOWDOWN_DECIMALS = 2
# Factor on that time for entries in other data centres: traffic between data
# centres is expensive, and entries prefer the workers of their own.
REMOTE_INTERVAL_FACTOR = 2
# Ends up to this age are sent again on a new link. An entry has given up the
# runs of an agent that was unreachable for longer.
ENDS_RESEND_WINDOW_MS = 10_000
# Cancelled jobs are named to new links for this long: copies of their requests may
# arrive seconds later.
CANCELLATIONS_RESEND_WINDOW_MS = 10_000
# More than an entry relays between two complete lists.
MAX_KEPT_RELAYS = 64


@handle_agent_event.register(LinkUp)
def on_link_up(
    event: LinkUp, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Announce the agent on a new link; the entry answers with its name."""
    agent_membership.record_link(state, event.name, True, now_ms)
    announce = WorkerAnnounce(state.name, state.incarnation, state.data_centre)
    state.effects.append(Send(event.name, announce))


@handle_agent_event.register(SendRejected)
def on_send_rejected(
    event: SendRejected, state: BurstAgentState, _sender: str, _now_ms: int
) -> None:
    """Count a message that was not sent; entries find out by time limits."""
    state.counters["messages_rejected"] += 1


@handle_agent_event.register(LinkDown)
def on_link_down(
    event: LinkDown, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Mark the entry as not linked, but keep its runs: it may reconnect in time."""
    agent_membership.record_link(state, event.name, False, now_ms)
    state.effects.extend(state.config_relay.drop_link(event.name, now_ms))
    name = state.entry_names_by_link.pop(event.name, None)
    view = state.entry_views.get(name) if name else None
    if view is None or view.link != event.name:
        return
    view.linked = False
    log_link(state, "link lost", view, now_ms)


@handle_agent_event.register(EntryWelcome)
def on_entry_welcome(
    event: EntryWelcome, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Register an entry that is new, has reconnected or has restarted.

    Runs that it ordered before a restart are stopped: it no longer knows them.
    """
    view = state.entry_views.get(event.entry)
    if view is not None and view.incarnation != event.incarnation:
        for run in state.runs_of(view.name):
            agent_runs.begin_stop(state, run, "entry restarted")
        state.stated_backlogs.forget(view.name)
        entry_name = view.name
        agent_runs.drop_waiting_orders(
            state,
            lambda waiting: waiting.entry_name == entry_name,
            "entry restarted",
            now_ms,
        )
        view = None
    if view is None:
        same_data_centre = event.data_centre == state.data_centre
        view = EntryView(
            event.entry, event.incarnation, sender, same_data_centre, now_ms
        )
        state.entry_views[event.entry] = view
    view.link = sender
    view.linked = True
    view.last_heard_ms = now_ms
    view.capacity_sent = None
    state.entry_names_by_link[sender] = view.name
    if event.profile is not None:
        agent_worker.adopt_profile(state, event.profile, now_ms)
    agent_membership.record_welcome(state, event, sender, now_ms)
    send_current_state(state, view, now_ms)
    log_link(state, "link established", view, now_ms)


def send_current_state(state: BurstAgentState, view: EntryView, now_ms: int) -> None:
    """Send an entry all that it may have missed while it had no link."""
    state.effects.extend(state.evacuation.announce([view.link]))
    agent_other_runs.report_all_runs(state, view, now_ms)
    held = [run.ref for run in state.runs_of(view.name)]
    held += [waiting.ref for waiting in state.waiting_orders_of(view.name)]
    messages: list[object] = [
        *(
            ended
            for ended_ms, ended in view.ends
            if now_ms - ended_ms <= ENDS_RESEND_WINDOW_MS
        ),
        HeldRuns(tuple(held), view.last_order),
        AgentBeat(now_ms),
        *(
            JobCancelled(job_id)
            for cancelled_ms, job_id in state.cancelled_jobs
            if now_ms - cancelled_ms <= CANCELLATIONS_RESEND_WINDOW_MS
        ),
        *repeat_relays(state, view, now_ms),
    ]
    state.effects.extend(Send(view.link, message) for message in messages)
    agent_profiles.send_profile(state, view, now_ms)
    send_capacity(state, view, now_ms)
    state.effects.extend(state.config_relay.announce([view.link]))


@handle_agent_event.register(EntryBeat)
def on_entry_beat(
    event: EntryBeat, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Extend the time for which the entry's wanted runs may go on; stop the others.

    The time counts from when the agent sent the echoed timestamp, not from when
    the echo arrived: the echo may have been delayed. An echo on a link that another
    one has replaced is ignored, as it may be older than the newest order.
    """
    view = find_entry_by_link(state, sender)
    if view is None or view.link != sender:
        return
    view.last_heard_ms = now_ms
    state.stated_backlogs.record(view.name, event.echo_ms, event.waiting)
    permitted_until_ms = event.echo_ms + timing.SILENCE_LIMIT_MS
    for run in state.runs_of(view.name):
        if run.order in event.wanted_orders:
            run.permitted_until_ms = max(run.permitted_until_ms, permitted_until_ms)
        else:
            agent_runs.begin_stop(state, run, "not wanted by its entry")
    agent_runs.drop_waiting_orders(
        state,
        lambda waiting: (
            waiting.entry_name == view.name and waiting.order not in event.wanted_orders
        ),
        "not wanted by its entry",
        now_ms,
    )


@handle_agent_event.register(WatchRoom)
def on_watch_room(
    _event: WatchRoom, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Send frequent capacity updates for a while, as the entry has jobs waiting."""
    view = find_entry_by_link(state, sender)
    if view is not None:
        view.frequent_updates_until_ms = now_ms + timing.FREQUENT_UPDATES_MS
        state.capacity_changed = True


@handle_agent_event.register(EntryLeft)
def on_entry_left(
    event: EntryLeft, state: BurstAgentState, _sender: str, _now_ms: int
) -> None:
    """Log that an entry shuts down; its link closes soon."""
    state.effects.append(LogDecision("entry left", {"entry": event.entry}))


@handle_agent_event.register(JobCancelled)
def on_job_cancelled(
    event: JobCancelled, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Pass a cancellation on to the other entries, also to those that link soon.

    An entry repeats its cancellations on a new link; one is passed on once.
    """
    if not remember_cancellation(state, event.job_id, now_ms):
        return
    state.effects.extend(
        Send(view.link, event)
        for view in state.entry_views.values()
        if view.linked and view.link != sender
    )


def remember_cancellation(state: BurstAgentState, job_id: str, now_ms: int) -> bool:
    """Keep a cancelled job for entries that link soon; return whether it is news."""
    if any(known_id == job_id for _, known_id in state.cancelled_jobs):
        return False
    state.cancelled_jobs.append((now_ms, job_id))
    return True


@handle_agent_event.register(RelayedRuns)
def on_relayed_runs(
    event: RelayedRuns, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Pass on what an entry relays to the other entries of this data centre.

    It is kept since the last complete list, for entries that link soon.
    """
    kept = state.relayed.setdefault(event.entry, deque(maxlen=MAX_KEPT_RELAYS))
    if event.is_complete:
        kept.clear()
    kept.append((now_ms, event))
    for job_id in event.cancelled:
        remember_cancellation(state, job_id, now_ms)
    state.counters["relays_passed_on"] += 1
    state.effects.extend(
        Send(view.link, event)
        for view in state.entry_views.values()
        if view.linked and view.same_data_centre and view.link != sender
    )


def repeat_relays(
    state: BurstAgentState, view: EntryView, now_ms: int
) -> Iterator[RelayedRuns]:
    """Yield what was passed on lately, for an entry that has just linked."""
    if not view.same_data_centre:
        return
    for entry, kept in list(state.relayed.items()):
        newest_ms, _ = kept[-1]
        if now_ms - newest_ms > timing.OTHER_RUNS_KEPT_MS:
            del state.relayed[entry]
        elif entry != view.name:
            for received_ms, event in kept:
                yield event._replace(age_ms=now_ms - received_ms)


@handle_agent_event.register(ConfigOffer)
def on_config_offer(
    event: ConfigOffer, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Pass a newer offer on to the other entries; offer this agent's if older.

    An entry that requests the text from this agent gets it while the agent fetches
    it, part by part.
    """
    relay = state.config_relay
    is_news = relay.is_news(event.version)
    state.effects.extend(relay.answer_offer(sender, event, now_ms))
    if is_news:
        state.effects.extend(relay.announce(state.entry_names_by_link))


@handle_agent_event.register(ConfigRequest)
def on_config_request(
    event: ConfigRequest, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Send a part of this agent's configuration, or fetch it first."""
    state.effects.extend(state.config_relay.answer_request(sender, event, now_ms))


@handle_agent_event.register(ConfigPart)
def on_config_part(
    event: ConfigPart, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Add a part from an entry; keep the configuration once it is complete."""
    relay = state.config_relay
    received = relay.receive_part(sender, event, now_ms)
    state.effects.extend(received.effects)
    if received.text is not None and relay.hold(event.version, received.text):
        state.effects.extend(relay.continue_transfers(now_ms))


@handle_agent_event.register(Drain)
def on_drain(event: Drain, state: BurstAgentState, _sender: str, now_ms: int) -> None:
    """Start to drain: accept no new runs; present ones may end in the grace period."""
    if state.drain_started_ms is None:
        state.drain_started_ms = now_ms
        state.capacity_changed = True
        fields: dict[str, object] = {"runs": len(state.runs), "reason": event.reason}
        state.effects.append(LogDecision("draining", fields))


def find_entry_by_link(state: BurstAgentState, link: str) -> EntryView | None:
    """Return the entry at the other end of a link, if known."""
    name = state.entry_names_by_link.get(link)
    return state.entry_views.get(name) if name else None


def send_capacity(state: BurstAgentState, view: EntryView, now_ms: int) -> None:
    """Send an entry the worker's free capacity and learned slowdown."""
    view.capacity_sent = offered_capacity(state, view)
    view.capacity_sent_ms = now_ms
    view.last_timestamp_sent_ms = now_ms
    learned = state.slowdown_estimator.learned()
    backlogs = state.stated_backlogs.take_news(view.name, now_ms)
    state.counters["backlogs_forwarded"] += len(backlogs)
    message = WorkerRoom(
        now_ms,
        *view.capacity_sent,
        view.last_order,
        round(learned.mean_log_slowdown, SLOWDOWN_DECIMALS),
        learned.runs,
        backlogs,
    )
    state.effects.append(Send(view.link, message))


def is_retiring(state: BurstAgentState, view: EntryView) -> bool:
    """Return whether the link to an entry is about to be closed."""
    dialled = state.dialled.get(view.link)
    return dialled is not None and dialled.retire_due_ms is not None


def offered_capacity(state: BurstAgentState, view: EntryView) -> tuple[Resources, bool]:
    """Return the worker's free capacity, and whether the entry may order runs."""
    return state.offered(), state.accepting() and not is_retiring(state, view)


def send_due_capacity_updates(state: BurstAgentState, now_ms: int) -> None:
    """Send a capacity update to each entry for which one is due.

    Updates are rate-limited: with many entries and workers, entries on small
    instances would do little else than read them. When the agent begins or ceases
    to accept orders of an entry, the update is sent at once.
    """
    is_update_due = (
        state.capacity_update_due_ms is not None
        and now_ms >= state.capacity_update_due_ms
    )
    if not state.capacity_changed and not is_update_due:
        return
    state.capacity_changed = False
    state.capacity_update_due_ms = None
    linked = [view for view in state.entry_views.values() if view.linked]
    frequent = sum(now_ms < view.frequent_updates_until_ms for view in linked)
    interval_ms = max(
        CAPACITY_UPDATE_INTERVAL_MS, CAPACITY_UPDATE_INTERVAL_PER_ENTRY_MS * frequent
    )
    idle_interval_ms = max(
        IDLE_CAPACITY_UPDATE_INTERVAL_MS,
        IDLE_CAPACITY_UPDATE_INTERVAL_PER_ENTRY_MS * len(linked),
    )
    for view in linked:
        capacity = offered_capacity(state, view)
        if view.capacity_sent == capacity:
            continue
        if view.capacity_sent is None or view.capacity_sent[1] != capacity[1]:
            due_ms = now_ms
        elif now_ms < view.frequent_updates_until_ms:
            due_ms = view.capacity_sent_ms + interval_ms
        elif view.same_data_centre:
            due_ms = view.capacity_sent_ms + idle_interval_ms
        else:
            due_ms = view.capacity_sent_ms + REMOTE_INTERVAL_FACTOR * idle_interval_ms
        if now_ms >= due_ms:
            send_capacity(state, view, now_ms)
        elif (
            state.capacity_update_due_ms is None
            or due_ms < state.capacity_update_due_ms
        ):
            state.capacity_update_due_ms = due_ms


def send_due_heartbeats(state: BurstAgentState, now_ms: int) -> None:
    """Send a heartbeat to each linked entry that is due for a timestamp.

    Capacity updates contain a timestamp as well, so that a link with a recent
    update needs no heartbeat. With hundreds of links in a deployment, this saves
    messages.
    """
    for view, due_ms in heartbeat_due_times(state):
        if now_ms >= due_ms:
            view.last_timestamp_sent_ms = now_ms
            state.effects.append(Send(view.link, AgentBeat(now_ms)))


def heartbeat_due_times(state: BurstAgentState) -> Iterator[tuple[EntryView, int]]:
    """Yield each linked entry with the time at which it is due for a timestamp."""
    busy = {
        name
        for run in state.runs.values()
        for name in (
            run.entry_name,
            *(waiting.entry_name for waiting in run.waiting_orders),
        )
    }
    for view in state.entry_views.values():
        if view.linked:
            has_runs = view.name in busy
            interval_ms = (
                timing.BUSY_HEARTBEAT_INTERVAL_MS
                if has_runs
                else timing.IDLE_HEARTBEAT_INTERVAL_MS
            )
            yield view, view.last_timestamp_sent_ms + interval_ms


def check_entries(state: BurstAgentState, now_ms: int) -> None:
    """Stop the runs of lost entries and drop silent links."""
    agent_runs.stop_unpermitted_runs(state, now_ms)
    for view in list(state.entry_views.values()):
        silent_ms = now_ms - max(view.last_heard_ms, state.resumed_ms)
        if view.linked and silent_ms > timing.IDLE_SILENCE_LIMIT_MS:
            # Not dropped again at each tick until the link is reported as down.
            view.last_heard_ms = now_ms
            log_link(state, "link silent", view, now_ms)
            state.effects.append(DropLink(view.link))


def log_link(state: BurstAgentState, event: str, view: EntryView, now_ms: int) -> None:
    """Log a change of the link to an entry."""
    fields: dict[str, object] = {
        "entry": view.name,
        "address": view.link,
        "runs": len(state.runs_of(view.name)),
        "heard_ms_ago": now_ms - view.last_heard_ms,
    }
    state.effects.append(LogDecision(event, fields))
