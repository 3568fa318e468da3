"""Event handlers of the entry for its agents: links, heartbeats, capacity, runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_callers import finish_job
from sardineferry.decision.burst.entry_callers import finish_job_if_done
from sardineferry.decision.burst.entry_cancellations import recent_cancellations
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_other_runs import add_unknown_runs
from sardineferry.decision.burst.entry_other_runs import end_unknown_run
from sardineferry.decision.burst.entry_other_runs import forget_earlier_reports
from sardineferry.decision.burst.entry_other_runs import forget_lost_runs
from sardineferry.decision.burst.entry_state import AgentView
from sardineferry.decision.burst.entry_state import EndProof
from sardineferry.decision.burst.entry_state import EndSource
from sardineferry.decision.burst.evacuation import EVACUATED
from sardineferry.decision.burst.overload.entry_backlog import learn_backlogs
from sardineferry.decision.burst.overload.entry_backlog import state_waiting_work
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.slowdown import LearnedSlowdown
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.common_effects import Send
from sardineferry.decision.common_events import LinkDown
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import ENDED_FAILED
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import ENDED_REFUSED
from sardineferry.messages.burst import REASON_STALLED
from sardineferry.messages.burst import REASON_WORKER_REPLACED
from sardineferry.messages.burst import REASON_WORKER_RESTARTED
from sardineferry.messages.burst import REASON_WORKER_SILENT
from sardineferry.messages.burst import AgentBeat
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import HeldRuns
from sardineferry.messages.burst import JobTasks
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.burst import WorkerProfile
from sardineferry.messages.burst import WorkerRoom

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.entry_state import PlacedRun

__all__ = ["apply_run_end", "check_agents", "send_due_echoes"]

# Added to a task's attempt number when a worker refuses it because it has ended this
# or a later attempt, which another entry ordered for an earlier submission.
SUPERSEDED_ATTEMPT_STEP = 8
# After a refusal for one of these reasons, the next order would probably be refused,
# too.
REASONS_TO_AVOID_WORKER = (
    StartAnswer.REJECTED.value,
    StartAnswer.OTHER_INCARNATION.value,
)
# A run ends as lost for one of these reasons if its worker's incarnation was lost.
REASONS_WORKER_LOST = (
    REASON_WORKER_REPLACED,
    REASON_WORKER_RESTARTED,
    REASON_WORKER_SILENT,
)
# An agent without a link is removed when no message came from it for this long.
FORGET_AGENT_MS = 120_000


@handle_entry_event.register(WorkerAnnounce)
def on_worker_announce(
    event: WorkerAnnounce, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Register an agent that is new, has reconnected or has restarted.

    Runs from before a restart are kept as orphans until they have surely ended.
    """
    view = state.agents.get(sender)
    if view is None:
        view = AgentView(sender, event.data_centre)
        state.agents[sender] = view
    restarted = view.incarnation not in ("", event.incarnation)
    # Send no orders until the agent has listed the runs that it holds. A run whose
    # order crosses the list would seem lost and be retried while it runs.
    view.accepting = False
    view.first_unlisted_order = state.next_order
    if view.incarnation != event.incarnation:
        view.agent_timestamp_ms = 0
        view.clock_offset_measured_ms = None
        view.clear_reservations()
    if restarted:
        # The worker may go on with the earlier agent's runs until their leases
        # expire or the restarted agent stops them.
        view.orphans.update(view.runs)
        view.runs.clear()
        view.orphans_expire_ms = view.runs_expire_ms()
        view.earlier_reports_expire_ms = now_ms + timing.RUNS_ENDED_AFTER_MS
    view.incarnation = event.incarnation
    view.linked = True
    state.run_relay.lose_link(sender, now_ms)
    if state.first_link_ms is None:
        state.first_link_ms = now_ms
    view.last_heard_ms = now_ms
    welcome = EntryWelcome(
        state.name,
        state.incarnation,
        state.data_centre,
        view.current_profile(now_ms),
        state.known_entries,
    )
    state.effects.append(Send(sender, welcome))
    state.effects.extend(state.evacuation.announce([sender]))
    state.effects.extend(
        Send(sender, cancelled) for cancelled in recent_cancellations(state, now_ms)
    )
    state.effects.extend(state.config_relay.announce([sender]))
    log_agent(state, "agent linked", view, now_ms)


@handle_entry_event.register(LinkDown)
def on_link_down(
    event: LinkDown, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Mark the agent as not linked, but keep its runs: it may reconnect in time."""
    state.effects.extend(state.config_relay.drop_link(event.name, now_ms))
    state.run_relay.lose_link(event.name, now_ms)
    view = state.agents.get(event.name)
    if view is not None:
        view.linked = False
        log_agent(state, "agent link lost", view, now_ms)


@handle_entry_event.register(WorkerProfile)
def on_worker_profile(
    event: WorkerProfile, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Record the profile of an agent's worker."""
    view = state.record_contact(sender, now_ms)
    if view is None:
        return
    previous, view.profile = view.profile, event
    view.cold_until_ms = now_ms + event.cold_left_ms
    if previous is not None and 0 < previous.born_ms < event.born_ms:
        record_worker_loss(state, view, previous.born_ms, now_ms)


@handle_entry_event.register(WorkerRoom)
def on_worker_room(
    event: WorkerRoom, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Record a worker's free capacity, its slowdown and whether orders are accepted.

    The timestamp is echoed, but less often than updates arrive.
    """
    view = state.record_contact(sender, now_ms)
    if view is None:
        return
    view.record_timestamp(event.sent_at_ms, now_ms)
    learned = LearnedSlowdown(event.speed, event.speed_runs)
    state.worker_slowdowns.update(view.name, view.kind(), learned)
    if event.backlogs:
        learn_backlogs(state, view, event)
    gap_ms = timing.ECHO_INTERVAL_MS if view.runs else timing.IDLE_ECHO_INTERVAL_MS
    if now_ms - view.last_echo_ms >= gap_ms:
        state.due_echoes[view.name] = None
    if view.update_capacity(event.free, event.last_order):
        state.placement_due = True
    if view.accepting != event.accepting:
        view.accepting = event.accepting
        state.placement_due = True
        log_agent(state, "agent accepting changed", view, now_ms)
        # A restarted agent accepts orders only once its worker has ended all
        # earlier runs.
        if view.accepting:
            forget_earlier_reports(state, view, now_ms)
    if view.accepting and view.orphans:
        retry_orphans(state, view, EndSource.RESTARTED, "agent restarted", now_ms)


@handle_entry_event.register(AgentBeat)
def on_agent_beat(
    event: AgentBeat, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Let the agent's timestamp be echoed, which keeps this entry's runs going."""
    view = state.record_contact(sender, now_ms)
    if view is not None:
        view.record_timestamp(event.sent_at_ms, now_ms)
        state.due_echoes[view.name] = None


def send_due_echoes(state: BurstEntryState, now_ms: int) -> None:
    """Send agents their latest timestamps back, with the orders that are wanted.

    This is done at the end of a pass: one of its events may have ended a job.
    """
    due_echoes, state.due_echoes = state.due_echoes, {}
    waiting = state_waiting_work(state, now_ms) if due_echoes else ()
    for name in due_echoes:
        view = state.agents.get(name)
        if view is None or not view.linked:
            continue
        view.last_echo_ms = now_ms
        orders = state.wanted_orders(view)
        beat = EntryBeat(view.agent_timestamp_ms, orders, waiting)
        state.effects.append(Send(view.name, beat))


@handle_entry_event.register(HeldRuns)
def on_held_runs(
    event: HeldRuns, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """End the runs that an agent no longer holds after its link was reopened.

    A run whose order never arrived counts as refused, any other as lost. Orders that
    were sent after the agent announced itself may have crossed the list.
    """
    view = state.record_contact(sender, now_ms)
    if view is None:
        return
    log_unwanted_runs(state, view, event)
    unknown = [ref for ref in event.runs if ref not in view.runs]
    add_unknown_runs(state, view, unknown, now_ms)
    held = set(event.runs)
    missing = [
        (ref, placed)
        for ref, placed in view.runs.items()
        if ref not in held and placed.order < view.first_unlisted_order
    ]
    for ref, placed in missing:
        del view.runs[ref]
        how = ENDED_LOST if placed.order <= event.last_order else ENDED_REFUSED
        ended = RunEnded(ref, how, 0, "lost with link")
        apply_run_end(state, view, placed, ended, EndSource.HELD_RUNS, now_ms)
    view.clear_reservations()


def log_unwanted_runs(state: BurstEntryState, view: AgentView, event: HeldRuns) -> None:
    """Log that an agent holds runs that are not placed, or whose jobs have ended."""
    unwanted = [
        ref
        for ref in event.runs
        if (placed := view.runs.get(ref)) is None or not state.is_active(placed.job)
    ]
    if unwanted:
        fields: dict[str, object] = {
            "agent": view.name,
            "runs": len(unwanted),
            "task": unwanted[0].task,
            "attempt": unwanted[0].attempt,
        }
        state.effects.append(LogDecision("agent holds unwanted runs", fields))


@handle_entry_event.register(RunEnded)
def on_run_ended(
    event: RunEnded, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Apply the end of a run, unless the run is unknown or its end was applied."""
    view = state.record_contact(sender, now_ms)
    if view is None:
        return
    placed = view.runs.pop(event.run, None)
    if placed is None:
        state.counters["ends_ignored"] += 1
        end_unknown_run(state, view, event, now_ms)
        # On a new link an agent first repeats ends that may have been applied.
        if view.accepting:
            log_unwanted_outcome(state, view, event, "unknown run ended")
        return
    if not state.is_active(placed.job):
        log_unwanted_outcome(state, view, event, "run of an ended job ended")
    apply_run_end(state, view, placed, event, EndSource.REPORTED, now_ms)


def log_unwanted_outcome(
    state: BurstEntryState, view: AgentView, ended: RunEnded, event: str
) -> None:
    """Log the end of a run for which nobody waits, if the run has an outcome."""
    if ended.how not in (ENDED_DONE, ENDED_FAILED):
        return
    fields: dict[str, object] = {
        "agent": view.name,
        "task": ended.run.task,
        "attempt": ended.run.attempt,
        "how": ended.how,
        "run_ms": ended.run_ms,
    }
    state.effects.append(LogDecision(event, fields))


def apply_run_end(
    state: BurstEntryState,
    view: AgentView,
    placed: PlacedRun,
    event: RunEnded,
    source: EndSource,
    now_ms: int,
) -> None:
    """Apply the end of a run to its task and job."""
    job, task = placed.job, placed.task
    proof = EndProof(
        event.how,
        event.reason,
        source,
        view.name,
        event.run.attempt,
        placed.ordered_ms,
        now_ms,
    )
    task.end_proof = proof
    if state.is_remote(view):
        note_relayed_end(state, placed, event, now_ms)
    current = state.jobs.get(job.job.job_id)
    if current is not None and current is not job:
        # The job was submitted again while this run had not ended.
        current.forget_earlier_run(task.index, proof)
        state.placement_due = True
    if event.how == ENDED_REFUSED:
        state.counters["runs_refused"] += 1
        if event.reason == EVACUATED:
            state.evacuation_review_due = True
        if event.reason == StartAnswer.SUPERSEDED.value:
            task.attempt += SUPERSEDED_ATTEMPT_STEP
            job.ran_before = True
        if event.reason in REASONS_TO_AVOID_WORKER:
            # Otherwise the task could be sent there again at once and be refused.
            task.avoid(view.name)
            record_failure(state, view, now_ms)
        else:
            fail_probe(state, view, now_ms)
        retry_task(state, job, task, "refused", now_ms)
        return
    job.had_run = True
    if event.how == ENDED_DONE:
        state.run_time.add(event.run_ms)
        view.trust.record_success(now_ms)
        # Runs from before an ejection do not close the open breaker.
        if view.health.state != "open":
            view.health.record_success()
        task.advance("done")
        finish_job_if_done(state, job, now_ms)
        return
    task.avoid(view.name)
    if event.how == ENDED_FAILED:
        task.failures += 1
        record_failure(state, view, now_ms)
        retry_task(state, job, task, "failed", now_ms)
        return
    state.counters["runs_lost"] += 1
    if event.reason in REASONS_WORKER_LOST and view.profile is not None:
        record_worker_loss(state, view, view.profile.born_ms, now_ms)
    if event.reason == REASON_STALLED:
        task.stalled = True
        record_failure(state, view, now_ms)
    else:
        fail_probe(state, view, now_ms)
    retry_task(state, job, task, "lost", now_ms)


def note_relayed_end(
    state: BurstEntryState, placed: PlacedRun, event: RunEnded, now_ms: int
) -> None:
    """Let other entries of this data centre hear of the end of a run elsewhere."""
    job_id = placed.job.job.job_id
    if event.how == ENDED_REFUSED:
        state.run_relay.note_change(now_ms, is_urgent=False)
    elif event.how == ENDED_DONE:
        item = JobTasks(job_id, state.name, (placed.task.index,))
        state.run_relay.note_done([item], now_ms)
    else:
        state.run_relay.note_lost([job_id], now_ms)


def fail_probe(state: BurstEntryState, view: AgentView, now_ms: int) -> None:
    """Count a run without an outcome as a failure if its worker is being probed.

    Otherwise a lost or refused probe would leave the worker ejected for good.
    """
    if view.health.state == "probing":
        record_failure(state, view, now_ms)


def record_worker_loss(
    state: BurstEntryState, view: AgentView, born_ms: int, now_ms: int
) -> None:
    """Count the loss of an incarnation of a worker; several limit its tasks."""
    if view.trust.record_loss(born_ms, now_ms):
        state.once_distrusted.add(view.name)
        state.counters["workers_distrusted"] += 1
        log_agent(state, "worker distrusted after several losses", view, now_ms)


def record_failure(state: BurstEntryState, view: AgentView, now_ms: int) -> None:
    """Count a failure of a worker that is not ejected; several in a row eject it."""
    if view.health.state == "open":
        return
    if view.health.record_failure(now_ms, may_open=True):
        state.counters["workers_ejected"] += 1
        log_agent(state, "worker ejected", view, now_ms)


def retry_task(
    state: BurstEntryState, job: ActiveJob, task: ActiveTask, event: str, now_ms: int
) -> None:
    """Queue a task again; fail its job if the task has no attempts left.

    ``event`` is the event in the state chart. If the job has ended, nothing else
    is done.
    """
    task.advance(event)
    state.placement_due = True
    if not state.is_active(job):
        return
    if task.failures >= job.route.attempts:
        finish_job(state, job, ReplyKind.FAILED, "attempts used up", now_ms)
        return
    if job not in state.queue:
        state.queue.append(job)


def check_agents(state: BurstEntryState, now_ms: int) -> None:
    """Retry runs of lost agents, drop silent links and forget long silent agents."""
    for view in list(state.agents.values()):
        if view.orphans and now_ms > view.orphans_expire_ms:
            retry_orphans(state, view, EndSource.BOUND, "leases lapsed", now_ms)
        if view.runs and now_ms > view.runs_expire_ms():
            log_agent(
                state, "agent lost, the leases of its runs have lapsed", view, now_ms
            )
            view.accepting = False
            runs, view.runs = view.runs, {}
            for ref, placed in runs.items():
                ended = RunEnded(ref, ENDED_LOST, 0, "agent lost")
                apply_run_end(state, view, placed, ended, EndSource.BOUND, now_ms)
        silent_ms = now_ms - max(view.last_heard_ms, state.resumed_ms)
        forget_lost_runs(state, view, silent_ms, now_ms)
        expire_ms = view.earlier_reports_expire_ms
        if expire_ms is not None and now_ms > expire_ms:
            forget_earlier_reports(state, view, now_ms)
        if view.linked and silent_ms > timing.IDLE_SILENCE_LIMIT_MS:
            view.linked = False
            log_agent(state, "agent silent", view, now_ms)
            state.effects.append(DropLink(view.name))
        if not view.linked and silent_ms > FORGET_AGENT_MS:
            del state.agents[view.name]
            state.once_distrusted.discard(view.name)
            state.worker_slowdowns.forget(view.name)


def retry_orphans(
    state: BurstEntryState,
    view: AgentView,
    source: EndSource,
    reason: str,
    now_ms: int,
) -> None:
    """Retry the runs that an agent held before it restarted."""
    orphans, view.orphans = view.orphans, {}
    for ref, placed in orphans.items():
        ended = RunEnded(ref, ENDED_LOST, 0, reason)
        apply_run_end(state, view, placed, ended, source, now_ms)


def log_agent(state: BurstEntryState, event: str, view: AgentView, now_ms: int) -> None:
    """Log a change of an agent's state.

    The fields hold the ages of its last message and of its latest timestamp.
    """
    fields: dict[str, object] = {
        "agent": view.name,
        "accepting": view.accepting,
        "runs": len(view.runs),
        "heard_ms_ago": now_ms - view.last_heard_ms,
        "stamp_heard_ms_ago": now_ms - view.timestamp_received_ms,
    }
    state.effects.append(LogDecision(event, fields))
