"""The agent's rules on runs: start, repeat, stop, and their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_rules import handle_agent_event
from sardineferry.decision.burst.agent_state import Run
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
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
    from collections.abc import Iterable

    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.decision.burst.worker import PresentRun
    from sardineferry.messages.burst import RunRef

__all__ = [
    "begin_stop",
    "end_run",
    "is_live",
    "lose_all",
    "raise_token",
    "repeat_stops",
    "stop_stalled",
]

# An order is repeated, with the same attempt, until the silence bound is over:
# answers that are lost come one in twenty on bad days, so this many suffice.
START_TRIES = 6
# Between stops that the worker did not answer.
STOP_RETRY_MS = 20
# Added to a fencing token that the worker refused, beyond clock steps seen.
TOKEN_STEP = 60_000


def is_live(run: Run) -> bool:
    """Tell whether a run is neither stopped nor being stopped."""
    return run.status in ("starting", "running")


@handle_agent_event.register(StartRuns)
def on_start_runs(
    event: StartRuns, state: BurstAgentState, sender: str, now_ms: int
) -> None:
    """Start what fits; refuse the rest, which then has not run."""
    name = state.link_owners.get(sender)
    owner = state.owners.get(name) if name else None
    if owner is None:
        return
    owner.last_order = max(owner.last_order, event.order)
    owner.heard_ms = now_ms
    owner.watches_until_ms = now_ms + timing.WATCH_MS
    state.room_dirty = True
    fresh = now_ms <= event.expires_ms
    if fresh:
        owner.alive_until_ms = max(owner.alive_until_ms, event.expires_ms)
    room = state.free()
    running = {run.ref.task: run for run in state.runs.values()}
    for ref in event.runs:
        reason = ""
        present = running.get(ref.task)
        if present is not None:
            if present.ref == ref and present.owner == owner.name:
                continue
            # Another entry's run of a job that was submitted again.
            reason = "task is still running"
        elif not fresh:
            reason = "order expired"
        elif not state.accepting():
            reason = "not accepting"
        elif not room.covers(event.need):
            reason = "no room"
        if reason:
            refuse(state, owner.name, ref, reason, now_ms)
            continue
        room = room.minus(event.need)
        run = Run(
            ref,
            owner.name,
            event.need,
            event.spec,
            event.estimate_ms,
            event.expires_ms,
            event.movable,
        )
        state.add_run(run)
        send_start(state, run, now_ms)


def refuse(
    state: BurstAgentState, owner_name: str, ref: RunRef, reason: str, now_ms: int
) -> None:
    """Tell an entry that a run was never started."""
    state.counters["runs_refused"] += 1
    ended = RunEnded(ref, ENDED_REFUSED, 0, reason)
    report_end(state, owner_name, ended, now_ms)


def send_start(state: BurstAgentState, run: Run, now_ms: int) -> None:
    """Order the worker to start a run."""
    run.tries += 1
    worker = state.worker
    lease_until_ms = 0
    worker_id = ""
    if worker is not None:
        lease_until_ms = worker.clock_at(now_ms) + timing.LEASE_MS
        worker_id = worker.report.worker_id
    state.lease_sent_ms = now_ms
    state.effects.append(
        StartRun(run.ref, run.spec, lease_until_ms, state.fencing_token, worker_id)
    )


@handle_agent_event.register(StartAnswered)
def on_start_answered(
    event: StartAnswered, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Go on by the worker's answer to a start."""
    if event.answer is not StartAnswer.UNANSWERED:
        state.worker_answer_ms = max(state.worker_answer_ms, event.sent_ms)
    if state.worker is not None and event.clock_ms is not None:
        state.worker.note_clock(event.clock_ms, now_ms)
    run = state.runs.get(event.run)
    if run is None:
        return
    match event.answer:
        case StartAnswer.STARTED:
            run.started_ms = run.started_ms or event.sent_ms
            run.confirmed_ms = now_ms
            run.advance("start")
        case StartAnswer.UNANSWERED:
            state.counters["starts_unanswered"] += 1
            repeat_start(state, run, now_ms)
        case StartAnswer.FENCED:
            raise_token(state)
            repeat_start(state, run, now_ms)
        case StartAnswer.LATE:
            repeat_start(state, run, now_ms)
        case _:
            give_up_start(state, run, event.answer.value, now_ms)


def repeat_start(state: BurstAgentState, run: Run, now_ms: int) -> None:
    """Order the same attempt again, which starts it once at the most."""
    if not is_live(run):
        return
    if run.tries < START_TRIES and now_ms <= run.expires_ms:
        send_start(state, run, now_ms)
    else:
        begin_stop(state, run, "start unanswered")


def give_up_start(state: BurstAgentState, run: Run, reason: str, now_ms: int) -> None:
    """End a run that the worker did not start.

    After an order without an answer the worker may still hold the run, or
    have ended it: then it is barred, and the worker's lists tell.
    """
    if run.tries > 1 or not is_live(run):
        begin_stop(state, run, reason)
        return
    run.advance("refuse")
    end_run(state, run, ENDED_REFUSED, reason, now_ms)


def raise_token(state: BurstAgentState) -> None:
    """Use a higher fencing token.

    Only one process ever orders this worker: a higher token seen there is from
    an earlier one whose clock was ahead.
    """
    state.fencing_token += TOKEN_STEP
    state.effects.append(
        LogDecision("fencing token raised", {"token": state.fencing_token})
    )


@handle_agent_event.register(StopRuns)
def on_stop_runs(
    event: StopRuns, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Stop runs that an entry no longer wants."""
    for ref in event.runs:
        run = state.runs.get(ref)
        if run is not None:
            begin_stop(state, run, "asked by its entry")


def begin_stop(state: BurstAgentState, run: Run, reason: str) -> None:
    """Stop a run, or bar it if it has not begun."""
    if not is_live(run):
        return
    run.advance("stop")
    run.stop_reason = reason
    fields: dict[str, object] = {
        "task": run.ref.task,
        "attempt": run.ref.attempt,
        "entry": run.owner,
        "reason": reason,
    }
    state.effects.append(LogDecision("run stopping", fields))
    send_stop(state, run)


def stop_stalled(
    state: BurstAgentState, present: Iterable[PresentRun], now_ms: int
) -> None:
    """Stop runs that are better repeated elsewhere."""
    for item in present:
        run = state.runs.get(item.run)
        if run is None or run.status != "running":
            continue
        elapsed_ms = now_ms - run.started_ms
        if is_stalled(item.percent, elapsed_ms, run.estimate_ms, run.movable):
            state.counters["runs_stalled"] += 1
            begin_stop(state, run, REASON_STALLED)


def send_stop(state: BurstAgentState, run: Run) -> None:
    """Order the worker to stop a run."""
    worker_id = state.worker.report.worker_id if state.worker is not None else ""
    state.effects.append(StopRun(run.ref, state.fencing_token, worker_id))


@handle_agent_event.register(StopAnswered)
def on_stop_answered(
    event: StopAnswered, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Repeat a stop until the worker has taken it."""
    if event.fenced:
        raise_token(state)
    done = event.answered and not event.fenced
    run = state.runs.get(event.run)
    if run is None:
        return
    if done:
        run.confirmed_ms = now_ms
        run.advance("confirm")
    else:
        run.stop_due_ms = now_ms + STOP_RETRY_MS


def repeat_stops(state: BurstAgentState, now_ms: int) -> None:
    """Send stops again that had no answer."""
    for run in state.runs.values():
        if run.stop_due_ms is not None and now_ms >= run.stop_due_ms:
            run.stop_due_ms = None
            send_stop(state, run)


def end_run(
    state: BurstAgentState, run: Run, how: str, reason: str, now_ms: int
) -> None:
    """Free a run's room and tell its entry; a stopped run tells why."""
    if how == ENDED_LOST and run.stop_reason:
        reason = run.stop_reason
    state.remove_run(run)
    state.room_dirty = True
    state.last_end_ms = now_ms
    state.counters[f"runs_{how}"] += 1
    run_ms = now_ms - run.started_ms if run.started_ms else 0
    # A start that was repeated may have been carried out late.
    if how == ENDED_DONE and run.tries == 1 and run.estimate_ms > 0:
        state.speed.add_run(run_ms / run.estimate_ms)
    state.effects.append(ObserveLatency("run", how, run_ms))
    fields: dict[str, object] = {
        "task": run.ref.task,
        "attempt": run.ref.attempt,
        "entry": run.owner,
        "how": how,
        "reason": reason,
        "run_ms": run_ms,
        "estimate_ms": run.estimate_ms,
        "tries": run.tries,
    }
    state.effects.append(LogDecision("run ended", fields))
    report_end(state, run.owner, RunEnded(run.ref, how, run_ms, reason), now_ms)


def report_end(
    state: BurstAgentState, owner_name: str, ended: RunEnded, now_ms: int
) -> None:
    """Tell an entry of an end, now or when its link is back."""
    owner = state.owners.get(owner_name)
    if owner is None:
        return
    owner.ends.append((now_ms, ended))
    if owner.linked:
        state.effects.append(Send(owner.link, ended))


def lose_all(state: BurstAgentState, reason: str, now_ms: int) -> None:
    """End all runs: the worker's life or their lease is over."""
    for run in list(state.runs.values()):
        end_run(state, run, ENDED_LOST, reason, now_ms)
    state.strays.clear()
