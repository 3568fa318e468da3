"""Relays runs and cancellations between the entries of a data centre.

Load pattern: copies of a request, or its cancellation, that arrive at an entry which is
not linked to the agent of the runs, in deployments with several entries in a data
centre.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.entry_cancellations import apply_cancellation
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_other_runs import add_other_runs
from sardineferry.decision.burst.entry_other_runs import mark_done
from sardineferry.decision.burst.entry_other_runs import release_jobs
from sardineferry.decision.burst.link_selection import rendezvous_weight
from sardineferry.decision.burst.other_runs import RelayingEntry
from sardineferry.decision.burst.other_runs import RunSource
from sardineferry.decision.burst.run_relay import HeardRelay
from sardineferry.decision.burst.run_relay import RelayedJob
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import RelayedRuns

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.run_relay import RunSnapshot

__all__ = ["forget_silent_relays", "relay_news"]

# An agent that is silent for longer than this does not serve as a relay. Without runs
# it sends a timestamp this often.
MAX_RELAY_SILENCE_MS = timing.IDLE_HEARTBEAT_INTERVAL_MS + timing.MAX_TICK_DELAY_MS


def relay_news(state: BurstEntryState, now_ms: int) -> None:
    """Send the other entries of this data centre what only this one has heard."""
    relay = state.run_relay
    if not state.has_peers or not relay.is_due(now_ms):
        return
    relay.use_link(choose_relaying_agent(state, now_ms))
    if not relay.link:
        return
    entry = RelayingEntry(state.name, state.incarnation)
    message = relay.take_message(entry, first_hand_runs(state, now_ms), now_ms)
    if message is not None:
        state.effects.append(Send(relay.link, message))
        state.counters["relays_sent"] += 1


def choose_relaying_agent(state: BurstEntryState, now_ms: int) -> str:
    """Return the agent of this data centre that passes news on; "" if there is none.

    Entries choose different ones. One that was chosen before is kept while it is heard.
    """
    names = [
        view.name
        for view in state.agents.values()
        if view.linked
        and not state.is_remote(view)
        and now_ms - max(view.last_heard_ms, state.resumed_ms) <= MAX_RELAY_SILENCE_MS
    ]
    if state.run_relay.link in names:
        return state.run_relay.link
    return max(names, key=lambda name: rendezvous_weight(name, state.name), default="")


def first_hand_runs(state: BurstEntryState, now_ms: int) -> RunSnapshot:
    """Return the runs at agents of other data centres, of this and of other entries.

    Of this entry's own runs these are the ones that agents would report: they last, or
    their job is a repeat.
    """
    tasks: dict[RelayedJob, set[int]] = {}
    for source, jobs in state.other_runs.reported.items():
        view = state.agents.get(source.agent)
        if source.relay is not None or view is None or not state.is_remote(view):
            continue
        for job_id, known in jobs.items():
            key = RelayedJob(source.agent, source.incarnation, job_id, known.entry)
            tasks.setdefault(key, set()).update(known.tasks)
    for view in state.agents.values():
        if not state.is_remote(view):
            continue
        for placed in (*view.runs.values(), *view.orphans.values()):
            is_old = now_ms - placed.ordered_ms >= timing.LASTING_RUN_MS
            if placed.is_reported or is_old:
                job_id = placed.job.job.job_id
                key = RelayedJob(view.name, view.incarnation, job_id, state.name)
                tasks.setdefault(key, set()).add(placed.task.index)
    return {job: frozenset(indexes) for job, indexes in tasks.items()}


@handle_entry_event.register(RelayedRuns)
def on_relayed_runs(
    event: RelayedRuns, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Hold jobs that run in another data centre, as another entry here has heard."""
    state.record_contact(sender, now_ms)
    relay = RelayingEntry(event.entry, event.incarnation)
    heard = state.run_relay.heard.get(relay)
    if event.entry == state.name or (heard and event.sequence <= heard.sequence):
        return
    sent_ms = now_ms - event.age_ms
    state.run_relay.heard[relay] = HeardRelay(event.sequence, sent_ms)
    state.counters["relays_received"] += 1
    changed = forget_relayed_runs(state, relay) if event.is_complete else []
    for agent in event.running:
        for item in agent.jobs:
            # What this entry has itself ordered is known better here.
            if item.entry != state.name:
                is_own = item.entry == event.entry
                source = RunSource(agent.agent, agent.incarnation, relay, is_own)
                add_other_runs(state, source, item, now_ms)
    for agent in event.ended:
        for item in agent.jobs:
            is_own = item.entry == event.entry
            source = RunSource(agent.agent, agent.incarnation, relay, is_own)
            state.other_runs.remove(source, item.job_id, item.tasks)
            changed.append(item.job_id)
    for item in event.done:
        state.other_runs.add_done(item.job_id, item.tasks, now_ms)
        mark_done(state, item, now_ms)
    for job_id in event.lost:
        state.other_runs.add_lost(job_id, now_ms)
    for job_id in event.cancelled:
        apply_cancellation(state, job_id, now_ms)
    release_jobs(state, changed, now_ms)


def forget_relayed_runs(state: BurstEntryState, relay: RelayingEntry) -> list[str]:
    """Forget the runs that an entry's process has relayed; return their jobs."""
    return [
        job_id
        for source in state.other_runs.relayed_by(relay)
        for job_id in state.other_runs.forget_source(source)
    ]


def forget_silent_relays(state: BurstEntryState, now_ms: int) -> None:
    """Forget what entries have relayed that have been silent for too long.

    The runs that such an entry itself ordered have then ended. Those of others may go
    on: their agents have linked to another entry meanwhile, which relays them.
    """
    for relay, heard in list(state.run_relay.heard.items()):
        silent_ms = now_ms - max(heard.sent_ms, state.resumed_ms)
        if silent_ms <= timing.RUNS_ENDED_AFTER_MS:
            continue
        is_lost = silent_ms > timing.OTHER_RUNS_KEPT_MS
        for source in state.other_runs.relayed_by(relay):
            if is_lost or source.ordered_by_relay:
                released = state.other_runs.forget_source(source)
                release_jobs(state, released, now_ms)
        if is_lost:
            del state.run_relay.heard[relay]
