"""The agent's rules on its worker: reports, leases and lists of runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import agent_links
from sardineferry.decision.burst import agent_runs
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_rules import handle_agent_event
from sardineferry.decision.burst.agent_state import WorkerLife
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.speed import SpeedEstimator
from sardineferry.decision.burst.worker import HoldAnswered
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.burst.worker import WorkerLeft
from sardineferry.decision.burst.worker import WorkerSeen
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import Resources

if TYPE_CHECKING:
    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.messages.burst import RunRef
    from sardineferry.messages.burst import WorkerProfile

__all__ = ["check_worker", "request_hold"]

# The platform's bound on the number of ends in one list.
ENDS_PER_LIST = 500
# Of a worker that has answered and not reported yet.
UNNAMED = ""
UNREPORTED = -1
# Between calls to a worker that does not answer, or that is being emptied.
RETRY_MS = 20


@handle_agent_event.register(WorkerSeen)
def on_worker_seen(
    event: WorkerSeen, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Take a report, unless it is older than what is known."""
    worker = state.worker
    if worker is not None and is_same_life(worker.report, event):
        if event.sequence <= worker.report.sequence:
            return
        drain_changed = event.draining != worker.report.draining
        worker.report = event
        worker.note_clock(event.clock_ms, now_ms)
        if drain_changed:
            log_worker(state, "worker draining", event)
            send_profiles(state)
    else:
        if worker is not None and event.born_ms < worker.report.born_ms:
            # A delayed report of an earlier life at the same address.
            return
        begin_life(state, event, now_ms)
    if state.total != event.total or state.labels != event.labels:
        # Another machine at the address.
        state.speed = SpeedEstimator()
        state.total = event.total
        state.labels = event.labels
        send_profiles(state)


def take_profile(state: BurstAgentState, profile: WorkerProfile) -> None:
    """Use what an entry knows of the worker until the worker reports.

    Answers the restart of an agent: a worker that is being emptied must not be
    used again because the agent that knew it is gone.
    """
    if state.total is None:
        state.total = profile.total
        state.labels = profile.labels
        state.room_dirty = True
    if profile.draining:
        state.drained_births.add(profile.born_ms)
        apply_drained(state)


def apply_drained(state: BurstAgentState) -> None:
    """Let a worker that has not reported yet drain if an entry says so."""
    worker = state.worker
    if worker is None or worker.report.sequence != UNREPORTED:
        return
    if worker.report.born_ms in state.drained_births and not worker.report.draining:
        worker.report = worker.report._replace(draining=True)
        state.room_dirty = True
        log_worker(state, "worker draining, by an entry's word", worker.report)


def send_profiles(state: BurstAgentState) -> None:
    """Tell all entries what the worker is."""
    state.room_dirty = True
    for owner in state.owners.values():
        if owner.linked:
            agent_links.send_profile(state, owner)


def is_same_life(known: WorkerSeen, event: WorkerSeen) -> bool:
    """Tell whether two reports are of one life; answers to holds name no id."""
    return event.born_ms == known.born_ms and known.worker_id in (
        event.worker_id,
        UNNAMED,
    )


def begin_life(state: BurstAgentState, event: WorkerSeen, now_ms: int) -> None:
    """Start over with a new life of the worker: it runs nothing yet.

    A higher token keeps late orders for the earlier life from this one.
    """
    state.worker = WorkerLife(event, now_ms)
    state.room_dirty = True
    state.worker_answer_ms = now_ms
    state.acknowledged = 0
    state.ends_to_acknowledge = False
    state.inventoried = False
    state.fencing_token += 1
    if state.runs:
        agent_runs.lose_all(state, "worker restarted", now_ms)
    log_worker(state, "worker seen", event)


def log_worker(state: BurstAgentState, what: str, event: WorkerSeen) -> None:
    """Log a change of what is known of the worker."""
    fields: dict[str, object] = {
        "worker": event.worker_id,
        "born_ms": event.born_ms,
        "draining": event.draining,
        "runs": len(state.runs),
        "token": state.fencing_token,
    }
    state.effects.append(LogDecision(what, fields))


@handle_agent_event.register(WorkerLeft)
def on_worker_left(
    event: WorkerLeft, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Place nothing on a worker that ends."""
    worker = state.worker
    if worker is None or worker.report.worker_id != event.worker_id:
        return
    worker.report = worker.report._replace(draining=True)
    send_profiles(state)
    log_worker(state, "worker left", worker.report)


def request_hold(state: BurstAgentState, now_ms: int) -> None:
    """Keep one hold at the worker while there is something to learn there."""
    idle = not state.runs and not state.strays
    nothing_to_learn = idle and state.inventoried and not state.ends_to_acknowledge
    paused = now_ms < state.next_hold_ms
    if state.hold_pending or nothing_to_learn or paused:
        return
    worker = state.worker
    # A worker that does not answer gets no longer lease: its runs lapse.
    silent = now_ms - state.worker_answer_ms > timing.LEASE_MS
    lease_until_ms = 0
    if worker is not None and not idle and not silent:
        lease_until_ms = worker.clock_at(now_ms) + timing.LEASE_MS
        state.lease_sent_ms = now_ms
    state.hold_pending = True
    state.effects.append(
        HoldWorker(
            0 if idle or not state.inventoried else timing.RENEW_MS,
            lease_until_ms,
            state.acknowledged,
            state.fencing_token,
            worker.report.worker_id if worker is not None else "",
        )
    )


@handle_agent_event.register(HoldAnswered)
def on_hold_answered(
    event: HoldAnswered, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Learn what the worker runs and what has ended."""
    state.hold_pending = False
    if event.fenced:
        agent_runs.raise_token(state)
        return
    if not event.answered:
        state.counters["holds_unanswered"] += 1
        state.next_hold_ms = now_ms + RETRY_MS
        fields: dict[str, object] = {
            "runs": len(state.runs),
            "waited_ms": now_ms - event.sent_ms,
            "answered_ms_ago": now_ms - state.worker_answer_ms,
        }
        state.effects.append(LogDecision("hold unanswered", fields))
        return
    if is_other_life(state, event):
        return
    meet_unreported(state, event, now_ms)
    state.worker_answer_ms = max(state.worker_answer_ms, event.sent_ms)
    if state.worker is not None and event.clock_ms is not None:
        state.worker.note_clock(event.clock_ms, now_ms)
    state.ends_to_acknowledge = False
    present = {item.run for item in event.present}
    for end in event.ends:
        if end.number <= state.acknowledged:
            continue
        state.acknowledged = end.number
        state.ends_to_acknowledge = True
        run = state.runs.get(end.run)
        if run is not None:
            run.advance("end")
            agent_runs.end_run(state, run, end.how, end.how, now_ms)
    if len(event.ends) < ENDS_PER_LIST:
        end_vanished(state, present, event.sent_ms, now_ms)
    agent_runs.stop_stalled(state, event.present, now_ms)
    stop_strays(state, present, event, now_ms)


def meet_unreported(state: BurstAgentState, event: HoldAnswered, now_ms: int) -> None:
    """Know a worker by its answer, as its first report may be a second away.

    Orders need its clock: without one they would carry no lease.
    """
    if state.worker is not None or event.clock_ms is None or event.born_ms is None:
        return
    seen = WorkerSeen(
        UNNAMED,
        event.born_ms,
        UNREPORTED,
        state.service,
        Resources(),
        state.labels,
        draining=False,
        clock_ms=event.clock_ms,
    )
    state.worker = WorkerLife(seen, now_ms)
    state.room_dirty = True
    log_worker(state, "worker answered before its report", seen)
    apply_drained(state)


def is_other_life(state: BurstAgentState, event: HoldAnswered) -> bool:
    """Tell whether the answer is from a life that was not reported yet."""
    if state.worker is None or event.born_ms is None:
        return False
    return event.born_ms != state.worker.report.born_ms


def end_vanished(
    state: BurstAgentState, present: set[RunRef], sent_ms: int, now_ms: int
) -> None:
    """End runs that the worker held before this call and no longer lists."""
    for run in list(state.runs.values()):
        known = run.status in ("running", "stopped") and run.confirmed_ms < sent_ms
        if known and run.ref not in present:
            agent_runs.end_run(state, run, ENDED_LOST, "not at the worker", now_ms)


def stop_strays(
    state: BurstAgentState, present: set[RunRef], event: HoldAnswered, now_ms: int
) -> None:
    """Stop what an earlier process ordered, before anything is started."""
    strays = {ref for ref in present if ref not in state.runs}
    # An end that was just taken note of may still be listed as present.
    strays -= {end.run for end in event.ends}
    if strays:
        state.next_hold_ms = now_ms + RETRY_MS
    for ref in strays:
        if ref not in state.strays:
            fields: dict[str, object] = {"task": ref.task, "attempt": ref.attempt}
            state.effects.append(LogDecision("stopping an unknown run", fields))
        state.effects.append(StopRun(ref, state.fencing_token, ""))
    changed = strays != state.strays or not state.inventoried
    state.strays = strays
    state.inventoried = state.inventoried or not strays
    state.room_dirty = state.room_dirty or changed


def check_worker(state: BurstAgentState, now_ms: int) -> None:
    """Give up the runs of a worker that is silent beyond their lease."""
    agent_runs.repeat_stops(state, now_ms)
    if not state.runs or now_ms - state.worker_answer_ms <= timing.LEASE_MS:
        return
    lapse_ms = int(timing.LEASE_MS / (1 - timing.CLOCK_SLOWNESS)) + timing.KILL_MS
    if now_ms - state.lease_sent_ms <= lapse_ms:
        return
    fields: dict[str, object] = {
        "runs": len(state.runs),
        "answered_ms_ago": now_ms - state.worker_answer_ms,
        "lease_sent_ms_ago": now_ms - state.lease_sent_ms,
    }
    state.effects.append(LogDecision("worker silent, its runs have lapsed", fields))
    state.inventoried = False
    agent_runs.lose_all(state, "worker silent", now_ms)
