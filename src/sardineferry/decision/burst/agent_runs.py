"""Event handlers of the agent that start, stop and end runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_dispatch import handle_agent_event
from sardineferry.decision.burst.agent_other_runs import add_to_report
from sardineferry.decision.burst.agent_other_runs import record_end
from sardineferry.decision.burst.agent_other_runs import record_start
from sardineferry.decision.burst.agent_state import Run
from sardineferry.decision.burst.agent_state import WaitingOrder
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.burst.evacuation import EVACUATED
from sardineferry.decision.burst.run_limits import MAX_STARTING_RUNS
from sardineferry.decision.burst.run_limits import MIN_OFFERED_RUNS
from sardineferry.decision.burst.stalls import is_stalled
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.burst.worker import StartAnswered
from sardineferry.decision.burst.worker import StartRun
from sardineferry.decision.burst.worker import StopAnswered
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import ENDED_REFUSED
from sardineferry.messages.burst import REASON_STALLED
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import StopRuns

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.decision.burst.worker import ListedRun
    from sardineferry.messages.burst import RunRef

__all__ = [
    "MAX_STOPS_IN_FLIGHT",
    "begin_stop",
    "drop_waiting_orders",
    "end_all_runs_as_lost",
    "end_run",
    "extend_lease",
    "is_live",
    "raise_fencing_token",
    "resend_due_stops",
    "stop_stalled_runs",
    "stop_unpermitted_runs",
]

# A start request without an answer is sent again, with the same attempt number,
# until the entry's order expires. In bad conditions one answer in twenty is lost, so
# six tries are enough.
MAX_START_TRIES = 6
# Delay before a stop request that the worker did not answer or refused because of
# its fencing token is sent again.
STOP_RETRY_DELAY_MS = 20
# From this number of failures on the delay doubles, up to 640 ms.
PROMPT_STOP_RETRIES = 16
MAX_STOP_DOUBLINGS = 5
# The worker answers so many within the time limit of a request, on all connections.
MAX_STOPS_IN_FLIGHT = 32
# Answers that don't show that the known incarnation of the worker is alive.
NOT_FROM_KNOWN_WORKER = (StartAnswer.UNANSWERED, StartAnswer.OTHER_INCARNATION)
# Added to a fencing token that the worker refused. Tokens derive from Unix time
# in milliseconds, so this is one minute, more than any clock step seen so far.
FENCING_TOKEN_STEP = 60_000


def is_live(run: Run) -> bool:
    """Return whether a run is starting or running, and not being stopped."""
    return run.status in ("starting", "running")


@handle_agent_event.register(StartRuns)
def on_start_runs(
    event: StartRuns, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Start the runs that fit into the free capacity and refuse the others.

    An order for a task that still runs waits for the end of that run: if it was
    refused, its entry would order the task elsewhere, and the two would meet. That also
    applies in an evacuated data centre, where all other runs are refused.
    Runs of the order that this entry ordered before are left as they are. An order on a
    link that another one has replaced is ignored: the list of held runs, sent on the
    new link, has told the entry that it did not arrive.
    """
    name = state.entry_names_by_link.get(sender)
    view = state.entry_views.get(name) if name else None
    if view is None or view.link != sender:
        return
    view.last_order = max(view.last_order, event.order)
    view.last_heard_ms = now_ms
    view.frequent_updates_until_ms = now_ms + timing.FREQUENT_UPDATES_MS
    state.capacity_changed = True
    is_valid = now_ms <= event.expires_ms
    free = state.free()
    startable = state.startable_runs()
    runs_by_task = {run.ref.task: run for run in state.runs.values()}
    for ref in event.runs:
        reason = ""
        existing = runs_by_task.get(ref.task)
        if existing is not None:
            if existing.ref != ref or existing.entry_name != view.name:
                waiting = WaitingOrder(ref, view.name, event.order)
                add_waiting_order(state, existing, waiting)
            continue
        if not is_valid:
            reason = "order expired"
        elif state.is_evacuated():
            reason = EVACUATED
        elif not state.accepting():
            reason = "not accepting"
        elif not free.covers(event.need):
            reason = "no room"
        elif not startable:
            reason = "too many runs"
        if reason:
            refuse_run(state, view.name, ref, reason, now_ms)
            continue
        free = free.minus(event.need)
        startable -= 1
        run = Run(
            ref,
            view.name,
            event.order,
            event.need,
            event.spec,
            event.estimate_ms,
            event.expires_ms,
            event.movable,
        )
        run.ordered_ms = now_ms
        state.add_run(run)
        record_start(state, run, event.is_repeat)
        send_start(state, run, now_ms)


def add_waiting_order(
    state: BurstAgentState, existing: Run, waiting: WaitingOrder
) -> None:
    """Let an order wait for the end of an existing run, unless it already does."""
    if waiting in existing.waiting_orders:
        return
    existing.waiting_orders.append(waiting)
    # The entry must not order the job's other tasks elsewhere meanwhile.
    add_to_report(state, existing)
    fields: dict[str, object] = {
        "task": waiting.ref.task,
        "attempt": waiting.ref.attempt,
        "entry": waiting.entry_name,
        "existing_entry": existing.entry_name,
        "existing_attempt": existing.ref.attempt,
        "existing_status": existing.status,
    }
    state.effects.append(LogDecision("order waits for a run", fields))


def release_waiting_orders(
    state: BurstAgentState, run: Run, ended: RunEnded, now_ms: int
) -> None:
    """Report the end of a run to the entries whose orders waited for it.

    If the task is done, it need not run again. Otherwise the orders are refused, and
    their entries repeat them.
    """
    for waiting in run.waiting_orders:
        if ended.how == ENDED_DONE:
            outcome = ended._replace(run=waiting.ref)
            report_run_end(state, waiting.entry_name, outcome, now_ms)
        else:
            reason = "waited for an earlier run"
            if state.is_evacuated():
                reason = EVACUATED
            refuse_run(state, waiting.entry_name, waiting.ref, reason, now_ms)


def drop_waiting_orders(
    state: BurstAgentState,
    is_dropped: Callable[[WaitingOrder], bool],
    reason: str,
    now_ms: int,
) -> None:
    """Refuse orders that wait for the end of a run and are no longer wanted."""
    for run in state.runs.values():
        dropped = [waiting for waiting in run.waiting_orders if is_dropped(waiting)]
        for waiting in dropped:
            run.waiting_orders.remove(waiting)
            refuse_run(state, waiting.entry_name, waiting.ref, reason, now_ms)


def refuse_run(
    state: BurstAgentState, entry_name: str, ref: RunRef, reason: str, now_ms: int
) -> None:
    """Report to an entry that a run was refused and never started."""
    state.counters["runs_refused"] += 1
    if reason == EVACUATED:
        state.counters["runs_refused_evacuated"] += 1
    ended = RunEnded(ref, ENDED_REFUSED, 0, reason)
    report_run_end(state, entry_name, ended, now_ms)


def send_start(state: BurstAgentState, run: Run, now_ms: int) -> None:
    """Send the worker a start request with a lease."""
    run.tries += 1
    extend_lease(state, now_ms)
    worker_id = state.worker.report.worker_id if state.worker is not None else ""
    state.effects.append(
        StartRun(
            run.ref, run.spec, state.lease_until_ms, state.fencing_token, worker_id
        )
    )


def extend_lease(state: BurstAgentState, now_ms: int) -> bool:
    """Extend the lease of all runs, unless one of them may not go on.

    A worker has one lease for all that it runs. A run that has not been stopped yet
    because the worker does not answer must at least end with the present lease.
    """
    stop_unpermitted_runs(state, now_ms)
    stopping = any(run.status == "stopping" for run in state.runs.values())
    if state.worker is None or stopping or state.unknown_runs:
        return False
    state.lease_until_ms = state.worker.clock_at(now_ms) + timing.LEASE_MS
    state.lease_sent_ms = now_ms
    return True


@handle_agent_event.register(StartAnswered)
def on_start_answered(
    event: StartAnswered, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Mark the run as running, send the start request again or give the run up."""
    worker = state.worker
    # An earlier incarnation may have answered a start that was sent before.
    if (
        worker is not None
        and event.sent_ms >= worker.adopted_ms
        and event.answer not in NOT_FROM_KNOWN_WORKER
    ):
        state.worker_answer_ms = max(state.worker_answer_ms, event.sent_ms)
        worker.answered_ms = now_ms
        if event.clock_ms is not None:
            worker.update_clock(event.clock_ms, now_ms)
    run = state.runs.get(event.run)
    if run is None or event.sent_ms < run.ordered_ms:
        return
    log_refused_start(state, run, event, now_ms)
    match event.answer:
        case StartAnswer.STARTED:
            run.started_ms = run.started_ms or event.sent_ms
            run.confirmed_ms = now_ms
            run.advance("start")
            if len(state.runs) > MAX_STARTING_RUNS - MIN_OFFERED_RUNS:
                # The offered capacity may have been held back for this start.
                state.capacity_changed = True
        case StartAnswer.UNANSWERED:
            state.counters["starts_unanswered"] += 1
            resend_start(state, run, now_ms)
        case StartAnswer.FENCED:
            raise_fencing_token(state)
            resend_start(state, run, now_ms)
        case StartAnswer.LATE:
            resend_start(state, run, now_ms)
        case _:
            abandon_start(state, run, event.answer.value, now_ms)


def log_refused_start(
    state: BurstAgentState, run: Run, event: StartAnswered, now_ms: int
) -> None:
    """Log the worker's answer to a start request if it is a refusal."""
    if event.answer in (StartAnswer.STARTED, StartAnswer.UNANSWERED):
        return
    fields: dict[str, object] = {
        "task": run.ref.task,
        "attempt": run.ref.attempt,
        "answer": event.answer.value,
        "status": event.status,
        "tries": run.tries,
        "sent_ms_ago": now_ms - event.sent_ms,
        "run_status": run.status,
        "entry": run.entry_name,
    }
    state.effects.append(LogDecision("start refused", fields))


def resend_start(state: BurstAgentState, run: Run, now_ms: int) -> None:
    """Send the start request again, or stop the run if no try is left.

    This can't start a run twice: the worker starts an attempt at most once. In an
    evacuated data centre, the run is stopped, as the request could start it.
    """
    if not is_live(run):
        return
    if state.is_evacuated():
        begin_stop(state, run, EVACUATED)
    elif run.tries < MAX_START_TRIES and now_ms <= run.expires_ms:
        send_start(state, run, now_ms)
    else:
        begin_stop(state, run, "start unanswered")


def abandon_start(state: BurstAgentState, run: Run, reason: str, now_ms: int) -> None:
    """End a run that the worker refused, or stop it if it may have been started.

    An earlier start request that got no answer may have started it. Requests that
    were answered as late or fenced are not distinguished from those, so the run is
    stopped whenever there was an earlier request. It then ends once the worker no
    longer lists it. A run that is already being stopped ends in the same way.
    """
    if run.tries > 1 or not is_live(run):
        begin_stop(state, run, reason)
        return
    run.advance("refuse")
    end_run(state, run, ENDED_REFUSED, reason, now_ms)


def raise_fencing_token(state: BurstAgentState) -> None:
    """Raise the fencing token after the worker refused it as too low.

    Only one agent process sends requests to a worker at a time, so the higher
    token is from an earlier process, whose clock was ahead.
    """
    state.fencing_token += FENCING_TOKEN_STEP
    state.effects.append(
        LogDecision("fencing token raised", {"token": state.fencing_token})
    )


@handle_agent_event.register(StopRuns)
def on_stop_runs(
    event: StopRuns, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Stop the runs that an entry no longer needs, and drop its waiting orders."""
    entry_name = state.entry_names_by_link.get(sender)
    for ref in event.runs:
        run = state.runs.get(ref)
        if run is not None and run.entry_name == entry_name:
            begin_stop(state, run, "asked by its entry")
    drop_waiting_orders(
        state,
        lambda waiting: waiting.entry_name == entry_name and waiting.ref in event.runs,
        "asked by its entry",
        now_ms,
    )


def begin_stop(state: BurstAgentState, run: Run, reason: str) -> None:
    """Send the worker a stop request for a run, unless one was sent before.

    If the worker has not started the run yet, it never will.
    """
    if not is_live(run):
        return
    run.advance("stop")
    run.stop_reason = reason
    fields: dict[str, object] = {
        "task": run.ref.task,
        "attempt": run.ref.attempt,
        "entry": run.entry_name,
        "reason": reason,
    }
    state.effects.append(LogDecision("run stopping", fields))
    if count_stops_in_flight(state) <= MAX_STOPS_IN_FLIGHT:
        send_stop(state, run)
    else:
        # Sent once other stops have been answered.
        run.stop_due_ms = 0


def stop_unpermitted_runs(state: BurstAgentState, now_ms: int) -> None:
    """Stop runs whose permission has ended: callers may resubmit their jobs elsewhere.

    An entry extends the permission as long as it is alive and wants the run.
    """
    ended: dict[str, list[Run]] = {}
    for run in state.runs.values():
        if now_ms > run.permitted_until_ms and is_live(run):
            ended.setdefault(run.entry_name, []).append(run)
    for entry_name, runs in ended.items():
        newest_ms = max(run.permitted_until_ms for run in runs)
        fields: dict[str, object] = {
            "entry": entry_name,
            "runs": len(runs),
            "silent_ms": now_ms - newest_ms + timing.SILENCE_LIMIT_MS,
            "bound_ms": timing.SILENCE_LIMIT_MS,
        }
        state.effects.append(LogDecision("entry lost, stopping its runs", fields))
        state.counters["runs_stopped_entry_lost"] += len(runs)
        for run in runs:
            begin_stop(state, run, "entry lost")


def stop_stalled_runs(
    state: BurstAgentState, present: Iterable[ListedRun], now_ms: int
) -> None:
    """Stop runs that progress too slowly, so that their entry retries them."""
    for item in present:
        run = state.runs.get(item.run)
        if run is None or run.status != "running":
            continue
        elapsed_ms = now_ms - run.started_ms
        if is_stalled(item.percent, elapsed_ms, run.estimate_ms, run.movable):
            state.counters["runs_stalled"] += 1
            begin_stop(state, run, REASON_STALLED)


def send_stop(state: BurstAgentState, run: Run) -> None:
    """Send the worker a stop request."""
    worker_id = state.worker.report.worker_id if state.worker is not None else ""
    state.effects.append(StopRun(run.ref, state.fencing_token, worker_id))


@handle_agent_event.register(StopAnswered)
def on_stop_answered(
    event: StopAnswered, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Mark the run as stopped, or schedule the stop request to be sent again."""
    if event.fenced:
        raise_fencing_token(state)
    accepted = event.answered and not event.fenced
    run = state.runs.get(event.run)
    if run is None or event.sent_ms < run.ordered_ms:
        return
    if accepted:
        run.confirmed_ms = now_ms
        run.stop_failures = 0
        state.capacity_changed = True
        run.advance("confirm")
    else:
        run.stop_failures += 1
        run.stop_due_ms = now_ms + stop_retry_delay_ms(run.stop_failures)
        state.capacity_changed = True


def stop_retry_delay_ms(failures: int) -> int:
    """Return the delay before a stop request is sent again.

    A lease has ended after the prompt attempts. More of them would keep a slow worker
    busy with connections that time out.
    """
    doublings = min(max(0, failures - PROMPT_STOP_RETRIES), MAX_STOP_DOUBLINGS)
    return STOP_RETRY_DELAY_MS << doublings


def resend_due_stops(state: BurstAgentState, now_ms: int) -> None:
    """Send stop requests that are due, as far as the worker can answer them in time.

    Those that have not been sent for longest come first: if all were sent at once,
    each would time out while it waits for a connection, and none would be answered.
    """
    due = [
        run
        for run in state.runs.values()
        if run.stop_due_ms is not None and now_ms >= run.stop_due_ms
    ]
    if not due:
        return
    due.sort(key=lambda run: run.stop_due_ms or 0)
    for run in due[: max(0, MAX_STOPS_IN_FLIGHT - count_stops_in_flight(state))]:
        run.stop_due_ms = None
        send_stop(state, run)


def count_stops_in_flight(state: BurstAgentState) -> int:
    """Return how many stop requests wait for an answer."""
    return sum(
        run.status == "stopping" and run.stop_due_ms is None
        for run in state.runs.values()
    )


def end_run(
    state: BurstAgentState, run: Run, how: str, reason: str, now_ms: int
) -> None:
    """Remove a run, free its resources and report its end to its entry.

    A run that was stopped and ended without an outcome is reported with the reason
    for the stop.
    """
    if how == ENDED_LOST and run.stop_reason:
        reason = run.stop_reason
    state.remove_run(run)
    record_end(state, run, how, now_ms)
    state.capacity_changed = True
    state.last_end_ms = now_ms
    state.counters[f"runs_{how}"] += 1
    run_ms = now_ms - run.started_ms if run.started_ms else 0
    # With several tries it is not known which one started the run, so its run
    # time is not used to learn the slowdown.
    if how == ENDED_DONE and run.tries == 1 and run.estimate_ms > 0:
        state.slowdown_estimator.add_run(run_ms / run.estimate_ms)
    state.effects.append(ObserveLatency("run", how, run_ms))
    fields: dict[str, object] = {
        "task": run.ref.task,
        "attempt": run.ref.attempt,
        "entry": run.entry_name,
        "how": how,
        "reason": reason,
        "run_ms": run_ms,
        "estimate_ms": run.estimate_ms,
        "tries": run.tries,
    }
    state.effects.append(LogDecision("run ended", fields))
    ended = RunEnded(run.ref, how, run_ms, reason)
    report_run_end(state, run.entry_name, ended, now_ms)
    release_waiting_orders(state, run, ended, now_ms)


def report_run_end(
    state: BurstAgentState, entry_name: str, ended: RunEnded, now_ms: int
) -> None:
    """Send an end to an entry, and keep it for the entry's next link."""
    view = state.entry_views.get(entry_name)
    if view is None:
        return
    view.ends.append((now_ms, ended))
    if view.linked:
        state.effects.append(Send(view.link, ended))


def end_all_runs_as_lost(state: BurstAgentState, reason: str, now_ms: int) -> None:
    """End all runs: the worker restarted or their lease expired."""
    for run in list(state.runs.values()):
        end_run(state, run, ENDED_LOST, reason, now_ms)
    state.unknown_runs.clear()
