"""Event handlers of the agent for its worker: reports, leases, lists of runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from sardineferry.decision.burst import agent_runs
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.agent_dispatch import handle_agent_event
from sardineferry.decision.burst.agent_profiles import send_profiles
from sardineferry.decision.burst.agent_state import Succession
from sardineferry.decision.burst.agent_state import WorkerIncarnation
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.slowdown import SlowdownEstimator
from sardineferry.decision.burst.worker import HoldAnswered
from sardineferry.decision.burst.worker import HoldWorker
from sardineferry.decision.burst.worker import StopRun
from sardineferry.decision.burst.worker import WorkerLeft
from sardineferry.decision.burst.worker import WorkerReported
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import REASON_WORKER_REPLACED
from sardineferry.messages.burst import REASON_WORKER_RESTARTED
from sardineferry.messages.burst import REASON_WORKER_SILENT
from sardineferry.messages.burst import Resources

if TYPE_CHECKING:
    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.messages.burst import RunRef
    from sardineferry.messages.burst import WorkerProfile

__all__ = ["check_worker", "request_hold"]

# The platform lists at most this many ended runs in one answer to a hold. If the list
# is full, a run that is missing may have ended with an outcome, so it is not yet
# treated as lost.
MAX_ENDS_PER_LIST = 500
# Placeholders in the report of a worker that has answered a hold but not reported
# yet. The sequence is lower than that of any report.
UNKNOWN_WORKER_ID = ""
NO_REPORT_SEQUENCE = -1
# Delay before the next hold after one without an answer, or while the worker
# still lists runs that are unknown here.
HOLD_RETRY_DELAY_MS = 20
# While no run may be at the worker, the delay doubles with each hold in a row without
# an answer, up to this: each try to a worker that is down costs a connection.
MAX_HOLD_RETRY_DELAY_MS = 160
# Reports of an incarnation that was not at the worker are ignored for this long, less
# than the time between two reports: it may have taken the worker's place since.
ASK_AGAIN_MS = 1_000
# A worker restarts every few seconds at most, so that none of interest is forgotten.
MAX_REPORTED_INCARNATIONS = 256

T = TypeVar("T")


@handle_agent_event.register(WorkerReported)
def on_worker_reported(
    event: WorkerReported, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Apply a report of the known incarnation, unless a newer one is known.

    A report of another incarnation may be delayed, or come from somewhere else. It
    proves nothing while runs may go on, so the worker is asked who it is.
    """
    worker = state.worker
    if state.unanswered_holds:
        # The worker is up again, or was never down.
        state.unanswered_holds = 0
        state.hold_due_ms = now_ms
    if worker is None:
        adopt_incarnation(state, event, "heartbeat", now_ms)
        apply_capabilities(state, event, now_ms)
    elif is_same_incarnation(worker.report, event):
        if event.sequence <= worker.report.sequence:
            record_ignored_report(state, worker, event)
            return
        drain_changed = event.draining != worker.report.draining
        worker.report = event
        worker.update_clock(event.clock_ms, now_ms)
        if drain_changed:
            log_worker(state, "worker draining", event)
            send_profiles(state, now_ms)
        apply_capabilities(state, event, now_ms)
    elif is_rejected(state, event, now_ms):
        record_ignored_report(state, worker, event)
    elif state.candidate is None or not is_same_incarnation(state.candidate, event):
        state.candidate = event
        state.hold_due_ms = now_ms
        state.capacity_changed = True
        log_worker(state, "worker reported as another incarnation", event)
    elif event.sequence > state.candidate.sequence:
        state.candidate = event


def forget_oldest(incarnations: dict[tuple[str, int], T]) -> None:
    """Bound what is kept of reported incarnations, which anybody can invent."""
    while len(incarnations) > MAX_REPORTED_INCARNATIONS:
        del incarnations[next(iter(incarnations))]


def is_rejected(state: BurstAgentState, event: WorkerReported, now_ms: int) -> bool:
    """Return whether an incarnation is known to be past, or was not there just now."""
    incarnation = (event.worker_id, event.born_ms)
    rejected_ms = state.rejected_candidates.get(incarnation)
    return incarnation in state.past_incarnations or (
        rejected_ms is not None and now_ms - rejected_ms < ASK_AGAIN_MS
    )


def apply_capabilities(
    state: BurstAgentState, report: WorkerReported, now_ms: int
) -> None:
    """Use a report's resources, labels and coldness; tell entries if they are new."""
    is_known = state.total == report.total and state.labels == report.labels
    if not is_known:
        # This is the first report, or another machine now has the address, whose
        # slowdown is not known yet.
        state.slowdown_estimator = SlowdownEstimator()
        state.warm_slowdown_estimator = None
        state.total = report.total
        state.labels = report.labels
    if apply_coldness(state, report, now_ms) or not is_known:
        send_profiles(state, now_ms)


def apply_coldness(state: BurstAgentState, report: WorkerReported, now_ms: int) -> bool:
    """Note how long the worker stays slow; return whether it became cold or warm.

    Its slowdown is learned again while it is cold. What was learned before counts again
    afterwards.
    """
    was_cold = state.warm_slowdown_estimator is not None
    is_cold = report.cold_left_ms > 0
    state.cold_until_ms = now_ms + report.cold_left_ms if is_cold else 0
    if is_cold and not was_cold:
        state.warm_slowdown_estimator = state.slowdown_estimator
        state.slowdown_estimator = SlowdownEstimator()
    elif not is_cold and state.warm_slowdown_estimator is not None:
        state.slowdown_estimator = state.warm_slowdown_estimator
        state.warm_slowdown_estimator = None
    if is_cold != was_cold:
        evidence: dict[str, object] = {"cold_left_ms": report.cold_left_ms}
        event = "worker is cold" if is_cold else "worker is warm"
        log_worker(state, event, report, evidence)
    return is_cold != was_cold


def record_ignored_report(
    state: BurstAgentState, worker: WorkerIncarnation, event: WorkerReported
) -> None:
    """Count a report that is not used; log the first one of each incarnation."""
    state.counters["reports_ignored"] += 1
    incarnation = (event.worker_id, event.born_ms)
    if incarnation in state.ignored_reports:
        return
    state.ignored_reports[incarnation] = None
    forget_oldest(state.ignored_reports)
    fields: dict[str, object] = {
        "worker": event.worker_id,
        "born_ms": event.born_ms,
        "sequence": event.sequence,
        "known_worker": worker.report.worker_id,
        "known_born_ms": worker.report.born_ms,
        "known_sequence": worker.report.sequence,
        "runs": len(state.runs),
    }
    state.effects.append(LogDecision("worker report ignored", fields))


def adopt_profile(state: BurstAgentState, profile: WorkerProfile, now_ms: int) -> None:
    """Use what an entry knows of the worker until the worker reports.

    Without this, a restarted agent would start runs at a draining worker, as
    only the earlier agent process had received the report that it drains.
    """
    if state.total is None:
        state.total = profile.total
        state.labels = profile.labels
        state.cold_until_ms = now_ms + profile.cold_left_ms
        state.capacity_changed = True
    if profile.draining:
        state.draining_incarnations.add(profile.born_ms)
        apply_draining_told_by_entries(state)


def apply_draining_told_by_entries(state: BurstAgentState) -> None:
    """Treat a worker that has not reported yet as draining if an entry said so."""
    worker = state.worker
    if worker is None or worker.report.sequence != NO_REPORT_SEQUENCE:
        return
    if (
        worker.report.born_ms in state.draining_incarnations
        and not worker.report.draining
    ):
        worker.report = worker.report._replace(draining=True)
        state.capacity_changed = True
        log_worker(state, "worker draining, as reported by an entry", worker.report)


def is_same_incarnation(known: WorkerReported, event: WorkerReported) -> bool:
    """Return whether two reports are from the same worker incarnation.

    A worker known only from its answer to a hold has no id to compare.
    """
    return event.born_ms == known.born_ms and known.worker_id in (
        event.worker_id,
        UNKNOWN_WORKER_ID,
    )


def adopt_incarnation(
    state: BurstAgentState, report: WorkerReported, basis: str, now_ms: int
) -> None:
    """Use an incarnation of the worker that is new to this process.

    It may have runs: of an earlier agent process, or of this one, if it has the id of
    the incarnation before. The fencing token is raised, so that it refuses delayed
    requests for that one.
    """
    evidence = describe_change(state, basis, now_ms)
    predecessor = state.worker
    state.worker = WorkerIncarnation(report, now_ms)
    state.candidate = None
    state.past_incarnations.discard((report.worker_id, report.born_ms))
    if predecessor is not None:
        previous = predecessor.report
        state.past_incarnations.add((previous.worker_id, previous.born_ms))
        is_restart = has_id_of(state.worker, predecessor)
        state.worker.succession = (
            Succession.RESTARTED if is_restart else Succession.REPLACED
        )
        lapsed_ms = state.lease_sent_ms + timing.LEASE_ENDED_AFTER_MS
        state.worker.predecessor_lapsed_ms = lapsed_ms
        # Entries count how often the worker was lost.
        send_profiles(state, now_ms)
    state.capacity_changed = True
    # The incarnation must not count as silent before it has had time to answer.
    state.worker_answer_ms = now_ms
    state.lease_until_ms = 0
    state.acknowledged = 0
    state.ack_due = False
    state.reconciled = False
    state.fencing_token += 1
    log_worker(state, "new worker incarnation", report, evidence)


def has_id_of(worker: WorkerIncarnation, other: WorkerIncarnation) -> bool:
    """Return whether two incarnations surely have the same id."""
    return worker.report.worker_id == other.report.worker_id != UNKNOWN_WORKER_ID


def leave_unlisted_runs(
    state: BurstAgentState, present: set[RunRef], lapsed_ms: int
) -> None:
    """Leave runs to the end of their lease, as another worker is at the address.

    Only a worker that starts again under its id is known to have ended before. One with
    another id may have started while the earlier one goes on with its runs.
    """
    for run in state.runs.values():
        if run.ref not in present and run.lapsed_ms is None:
            run.advance("leave")
            run.lapsed_ms = lapsed_ms
            run.stop_due_ms = None


def end_left_runs(state: BurstAgentState, now_ms: int) -> None:
    """End the runs of a replaced worker whose lease must have lapsed."""
    for run in list(state.runs.values()):
        if run.lapsed_ms is not None and now_ms > run.lapsed_ms:
            agent_runs.end_run(state, run, ENDED_LOST, REASON_WORKER_REPLACED, now_ms)


def describe_change(
    state: BurstAgentState, basis: str, now_ms: int
) -> dict[str, object]:
    """Return what a new incarnation rests on, and what was known of the previous one.

    The previous one's fields are None if there is none, or if it never answered.
    """
    fields: dict[str, object] = {
        "basis": basis,
        "previous": None,
        "previous_born_ms": None,
        "previous_answered_ms_ago": None,
    }
    worker = state.worker
    if worker is not None:
        fields["previous"] = worker.report.worker_id
        fields["previous_born_ms"] = worker.report.born_ms
        if worker.answered_ms is not None:
            fields["previous_answered_ms_ago"] = now_ms - worker.answered_ms
    return fields


def log_worker(
    state: BurstAgentState,
    event: str,
    report: WorkerReported,
    evidence: dict[str, object] | None = None,
) -> None:
    """Log what happened to the worker, with its state and the evidence for it."""
    fields: dict[str, object] = {
        "worker": report.worker_id,
        "born_ms": report.born_ms,
        **(evidence or {}),
        "sequence": report.sequence,
        "draining": report.draining,
        "runs": len(state.runs),
        "token": state.fencing_token,
    }
    state.effects.append(LogDecision(event, fields))


@handle_agent_event.register(WorkerLeft)
def on_worker_left(
    event: WorkerLeft, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Mark a worker that shuts down as draining, so that it gets no more runs."""
    worker = state.worker
    if worker is None or worker.report.worker_id != event.worker_id:
        return
    worker.report = worker.report._replace(draining=True)
    send_profiles(state, now_ms)
    log_worker(state, "worker left", worker.report)


def request_hold(state: BurstAgentState, now_ms: int) -> None:
    """Send a hold unless one is pending or delayed, or nothing is to be learned.

    A hold is a long poll: it extends the leases of all runs, acknowledges ends and
    waits for new ones. A worker without runs, with runs that may be unknown here, or
    that was reported as another incarnation, is asked for an answer at once.
    """
    idle = not state.runs and not state.unknown_runs
    candidate = state.candidate
    is_settled = state.reconciled and candidate is None
    nothing_to_learn = idle and is_settled and not state.ack_due
    if state.runs:
        # A run may have been ordered during a longer delay.
        state.hold_due_ms = min(state.hold_due_ms, now_ms + HOLD_RETRY_DELAY_MS)
    delayed = now_ms < state.hold_due_ms
    if state.hold_pending or nothing_to_learn or delayed:
        return
    worker = state.worker
    # A worker that does not answer gets no new lease, so that its runs end when the
    # present one expires.
    silent = now_ms - state.worker_answer_ms > timing.LEASE_MS
    # Another worker's clock is not known.
    is_doubted = candidate is not None or (worker is not None and worker.is_doubted)
    may_extend = not idle and not silent and not is_doubted
    extended = may_extend and agent_runs.extend_lease(state, now_ms)
    if idle or not is_settled:
        wait_ms = 0
    elif extended or silent:
        wait_ms = timing.LEASE_RENEWAL_MS
    else:
        # The lease is extended as soon as the pending stop is confirmed.
        wait_ms = HOLD_RETRY_DELAY_MS
    if candidate is not None:
        worker_id = candidate.worker_id
    else:
        worker_id = worker.report.worker_id if worker is not None else UNKNOWN_WORKER_ID
    state.hold_pending = True
    state.hold_candidate = candidate
    state.hold_worker_id = worker_id
    state.effects.append(
        HoldWorker(
            wait_ms,
            state.lease_until_ms if extended else 0,
            state.acknowledged if state.ack_due and state.ack_is_fresh else 0,
            state.fencing_token,
            worker_id,
        )
    )


def hold_retry_delay_ms(state: BurstAgentState) -> int:
    """Return the delay before the next hold, after one without an answer.

    A worker that may have runs is asked again at once, to extend or end their lease.
    """
    if state.runs or state.unknown_runs:
        return HOLD_RETRY_DELAY_MS
    # Bounds the exponent: the delay has long reached its maximum.
    doublings = min(state.unanswered_holds, 8)
    return min(MAX_HOLD_RETRY_DELAY_MS, HOLD_RETRY_DELAY_MS << doublings)


@handle_agent_event.register(HoldAnswered)
def on_hold_answered(
    event: HoldAnswered, state: BurstAgentState, _sender: str, now_ms: int
) -> None:
    """Update the runs from the lists of present and ended runs in the answer.

    If another incarnation than the known one answers, it is asked again: its next
    answer comes after it has seen the raised fencing token, so that no delayed request
    for the one before can change what is listed.
    """
    state.hold_pending = False
    # The next hold may reach another incarnation, which would forget its own ends up to
    # the number. Ends whose acknowledgement was lost are listed again.
    state.ack_is_fresh = False
    asked_candidate, state.hold_candidate = state.hold_candidate, None
    if event.fenced:
        agent_runs.raise_fencing_token(state)
        return
    if event.misdirected:
        reject_worker_id(state, asked_candidate, now_ms)
        return
    if not event.answered:
        state.counters["holds_unanswered"] += 1
        state.hold_due_ms = now_ms + hold_retry_delay_ms(state)
        state.unanswered_holds += 1
        fields: dict[str, object] = {
            "runs": len(state.runs),
            "waited_ms": now_ms - event.sent_ms,
            "answered_ms_ago": now_ms - state.worker_answer_ms,
        }
        state.effects.append(LogDecision("hold unanswered", fields))
        return
    state.unanswered_holds = 0
    known = state.worker
    adopt_answering_worker(state, event, asked_candidate, now_ms)
    worker = state.worker
    if worker is not None:
        worker.answered_ms = now_ms
        if event.clock_ms is not None:
            worker.update_clock(event.clock_ms, now_ms)
    state.worker_answer_ms = max(state.worker_answer_ms, event.sent_ms)
    if known is not None and worker is not known:
        return
    if worker is not None:
        worker.is_doubted = False
    state.ack_due = bool(event.ends)
    state.ack_is_fresh = True
    present = {item.run for item in event.present}
    succession = worker.succession if worker is not None else None
    if worker is not None and succession is Succession.REPLACED:
        leave_unlisted_runs(state, present, worker.predecessor_lapsed_ms)
    for end in event.ends:
        if end.number <= state.acknowledged:
            continue
        state.acknowledged = end.number
        run = state.runs.get(end.run)
        if run is not None:
            run.advance("end")
            agent_runs.end_run(state, run, end.how, end.how, now_ms)
    if len(event.ends) < MAX_ENDS_PER_LIST:
        restarted = succession is Succession.RESTARTED
        reason = REASON_WORKER_RESTARTED if restarted else "not at the worker"
        end_unlisted_runs(state, present, event, reason, now_ms)
    if worker is not None:
        worker.succession = None
    agent_runs.stop_stalled_runs(state, event.present, now_ms)
    stop_unknown_runs(state, present, event, now_ms)


def reject_worker_id(
    state: BurstAgentState, asked_candidate: WorkerReported | None, now_ms: int
) -> None:
    """Note that the worker has another id than the hold named.

    If that was the known id, the next hold goes to any worker, whose answer tells which
    incarnation it is. Until then no run is started there.
    """
    if asked_candidate is not None:
        reject_candidate(state, asked_candidate, now_ms)
    elif state.worker is not None:
        log_worker(state, "worker has another id", state.worker.report)
        report = state.worker.report
        state.worker.report = report._replace(worker_id=UNKNOWN_WORKER_ID)
        state.worker.is_doubted = True
        state.reconciled = False
        state.capacity_changed = True


def reject_candidate(
    state: BurstAgentState, candidate: WorkerReported, now_ms: int
) -> None:
    """Ignore a reported incarnation for a while, as the worker is another one."""
    incarnation = (candidate.worker_id, candidate.born_ms)
    state.rejected_candidates.pop(incarnation, None)
    state.rejected_candidates[incarnation] = now_ms
    forget_oldest(state.rejected_candidates)
    state.capacity_changed = True
    if state.candidate is not None and is_same_incarnation(state.candidate, candidate):
        state.candidate = None
    log_worker(state, "reported incarnation is not at the worker", candidate)


def adopt_answering_worker(
    state: BurstAgentState,
    event: HoldAnswered,
    asked_candidate: WorkerReported | None,
    now_ms: int,
) -> None:
    """Use the incarnation that has answered a hold, if it is another than the known.

    It may not have reported yet: the first report may take a second. Start requests
    contain a lease by its clock, whose time is in the answer.
    """
    known = state.worker
    if event.born_ms is None or event.clock_ms is None:
        return
    if asked_candidate is not None and asked_candidate.born_ms != event.born_ms:
        reject_candidate(state, asked_candidate, now_ms)
        asked_candidate = None
    is_known = known is not None and known.report.born_ms == event.born_ms
    if is_known and asked_candidate is None:
        return
    report = asked_candidate or state.candidate
    is_reported = report is not None and report.born_ms == event.born_ms
    if report is None or not is_reported:
        report = WorkerReported(
            state.hold_worker_id,
            event.born_ms,
            NO_REPORT_SEQUENCE,
            state.service,
            Resources(),
            state.labels,
            draining=False,
            clock_ms=event.clock_ms,
        )
    if known is None:
        # There is no earlier incarnation whose delayed requests have to be fenced off.
        evidence = describe_change(state, "answer", now_ms)
        state.worker = WorkerIncarnation(report, now_ms)
        state.capacity_changed = True
        log_worker(state, "worker answered before its report", report, evidence)
    else:
        adopt_incarnation(state, report, "answer", now_ms)
    if is_reported:
        apply_capabilities(state, report, now_ms)
    apply_draining_told_by_entries(state)


def end_unlisted_runs(
    state: BurstAgentState,
    present: set[RunRef],
    event: HoldAnswered,
    reason: str,
    now_ms: int,
) -> None:
    """End runs as lost that were confirmed before this hold but are not listed."""
    unlisted = [
        run
        for run in state.runs.values()
        if run.status in ("running", "stopped")
        and run.confirmed_ms < event.sent_ms
        and run.ref not in present
    ]
    if not unlisted:
        return
    fields: dict[str, object] = {
        "hold_sent_ms_ago": now_ms - event.sent_ms,
        # Rows of task, attempt, status and the age of the confirmation.
        "runs": [
            (run.ref.task, run.ref.attempt, run.status, now_ms - run.confirmed_ms)
            for run in unlisted
        ],
        "present": len(event.present),
        "ends": len(event.ends),
        "born_ms": event.born_ms,
    }
    state.effects.append(LogDecision("runs not at the worker", fields))
    for run in unlisted:
        agent_runs.end_run(state, run, ENDED_LOST, reason, now_ms)


def stop_unknown_runs(
    state: BurstAgentState, present: set[RunRef], event: HoldAnswered, now_ms: int
) -> None:
    """Stop runs that the worker lists but that are unknown here.

    An earlier agent process started them, or this one gave them up as lost. Until
    they have ended, the agent accepts no orders.
    """
    unknown_runs = {ref for ref in present if ref not in state.runs}
    # A run whose end was listed in this answer may still be listed as present.
    unknown_runs -= {end.run for end in event.ends}
    if unknown_runs:
        state.hold_due_ms = now_ms + HOLD_RETRY_DELAY_MS
    for ref in unknown_runs:
        if ref not in state.unknown_runs:
            fields: dict[str, object] = {"task": ref.task, "attempt": ref.attempt}
            state.effects.append(LogDecision("stopping an unknown run", fields))
    # The others follow as these end.
    for ref in sorted(unknown_runs)[: agent_runs.MAX_STOPS_IN_FLIGHT]:
        state.effects.append(StopRun(ref, state.fencing_token, ""))
    changed = unknown_runs != state.unknown_runs or not state.reconciled
    state.unknown_runs = unknown_runs
    state.reconciled = state.reconciled or not unknown_runs
    state.capacity_changed = state.capacity_changed or changed


def check_worker(state: BurstAgentState, now_ms: int) -> None:
    """Resend due stop requests; end all runs of a silent worker as lost.

    A worker counts as silent only once the leases of its runs have expired, even
    by the slowest clock that it may have, and if it has started again meanwhile.
    """
    agent_runs.resend_due_stops(state, now_ms)
    end_left_runs(state, now_ms)
    if not state.runs or now_ms - state.worker_answer_ms <= timing.LEASE_MS:
        return
    if now_ms - state.lease_sent_ms <= timing.LONGEST_LEASE_ENDED_AFTER_MS:
        return
    fields: dict[str, object] = {
        "runs": len(state.runs),
        "answered_ms_ago": now_ms - state.worker_answer_ms,
        "lease_sent_ms_ago": now_ms - state.lease_sent_ms,
    }
    state.effects.append(
        LogDecision("worker silent, the leases of its runs have lapsed", fields)
    )
    state.reconciled = False
    agent_runs.end_all_runs_as_lost(state, REASON_WORKER_SILENT, now_ms)
