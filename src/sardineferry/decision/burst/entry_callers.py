"""Event handlers of the entry for callers: admit, refuse, answer jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import admission
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_placement import can_receive_orders
from sardineferry.decision.burst.entry_placement import max_start_wait_ms
from sardineferry.decision.burst.entry_state import UNKNOWN_JOB
from sardineferry.decision.burst.entry_state import ActiveJob
from sardineferry.decision.burst.entry_state import EarlyJob
from sardineferry.decision.burst.entry_state import EndedJob
from sardineferry.decision.burst.link_selection import count_links_per_agent
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import ShowJob
from sardineferry.decision.burst.requests import ShowQueue
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import StopRuns

if TYPE_CHECKING:
    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.requests import BurstJob

__all__ = [
    "admit_early_jobs",
    "expire_callers",
    "expire_waiting_jobs",
    "find_job",
    "finish_all_jobs",
    "finish_job",
    "finish_job_if_done",
    "hold_job",
    "stop_job_runs",
]

# A started job is given up if tasks still wait after this many response-time goals:
# its callers then have no use for an answer.
ABANDON_AFTER_GOALS = 3
# While draining, a job is admitted if it should end this long before the end of the
# grace period.
DRAIN_MARGIN_MS = 1_500
# A job that comes before the configuration waits for it at most this long. Reading
# 1,700 routes takes 0.5 s on a link of 9.5 Mbit/s.
MAX_CONFIGURATION_WAIT_MS = 700
# The number of jobs that may wait for the configuration; a job takes about 2 KB.
MAX_EARLY_JOBS = 500
# Retry delay after a refusal for another reason than a long forecast wait, for
# example while no worker is known.
DEFAULT_RETRY_MS = 500
# Outcomes that late copies of a job's request are answered as well.
FINAL_OUTCOMES = (ReplyKind.COMPLETED, ReplyKind.FAILED, ReplyKind.CANCELLED)


@handle_entry_event.register(SubmitJob)
def on_submit_job(
    event: SubmitJob, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Admit a job, or reply that it is refused or that no route matches it.

    A job that comes soon after the start, before the configuration has been read,
    is held back.
    """
    if state.configuration.version >= 0:
        decide_admission(state, event, now_ms, now_ms)
        return
    can_hold = (
        not state.exiting
        and state.is_discovering_workers(now_ms)
        and state.drain_started_ms is None
        and len(state.early_jobs) < MAX_EARLY_JOBS
    )
    if can_hold:
        state.early_jobs[event.token] = EarlyJob(event, now_ms)
    else:
        refuse_job(state, event, "no configuration yet", DEFAULT_RETRY_MS, now_ms)


def admit_early_jobs(state: BurstEntryState, now_ms: int) -> None:
    """Decide on the jobs that waited for the configuration, which has been read."""
    early_jobs, state.early_jobs = state.early_jobs, {}
    for early_job in early_jobs.values():
        decide_admission(state, early_job.event, early_job.arrived_ms, now_ms)


def refuse_early_jobs(
    state: BurstEntryState, max_wait_ms: int, reason: str, now_ms: int
) -> None:
    """Refuse the jobs that have waited too long for the configuration."""
    for token, early_job in list(state.early_jobs.items()):
        if now_ms - early_job.arrived_ms > max_wait_ms:
            del state.early_jobs[token]
            refuse_job(state, early_job.event, reason, DEFAULT_RETRY_MS, now_ms)


def decide_admission(
    state: BurstEntryState, event: SubmitJob, arrived_ms: int, now_ms: int
) -> None:
    """Admit a job that arrived at ``arrived_ms``, or refuse it.

    If the job is already active, its caller waits for the same outcome. If it has ended
    with an outcome, its caller gets that one.
    """
    route = state.route_table.match(event.host, event.path)
    if route is None:
        fields: dict[str, object] = {
            "job": event.job.job_id,
            "host": event.host,
            "path": event.path,
            "config_version": state.configuration.version,
        }
        state.effects.append(LogDecision("job has no route", fields))
        state.effects.append(BurstReply(event.token, ReplyKind.NO_ROUTE))
        return
    active = state.jobs.get(event.job.job_id)
    if active is not None:
        active.tokens.add(event.token)
        record_caller(state, event, arrived_ms)
        state.effects.append(
            LogDecision("job submitted again", {"job": event.job.job_id})
        )
        return
    ended = state.ended_jobs.get(event.job.job_id, UNKNOWN_JOB)
    if ended.outcome is not None:
        answer_ended_job(state, event, ended.outcome, now_ms - ended.ended_ms)
        return
    if is_done_elsewhere(state, event.job):
        done_ms = now_ms - state.other_runs.done[event.job.job_id].since_ms
        answer_ended_job(state, event, ReplyKind.COMPLETED, done_ms)
        return
    refusal = find_refusal(state, event, route, now_ms)
    if refusal is not None:
        refuse_job(state, event, *refusal, now_ms)
        return
    admit_job(state, event, route, arrived_ms)


def is_done_elsewhere(state: BurstEntryState, job: BurstJob) -> bool:
    """Return whether other entries have run all tasks of a job."""
    done = state.other_runs.done_tasks(job.job_id)
    return bool(done) and set(range(job.steps[0].tasks)) <= set(done)


def answer_ended_job(
    state: BurstEntryState, event: SubmitJob, outcome: ReplyKind, age_ms: int
) -> None:
    """Answer a late copy of a request with the outcome of its job."""
    fields: dict[str, object] = {
        "job": event.job.job_id,
        "outcome": outcome.value,
        "ended_ms_ago": age_ms,
    }
    state.effects.append(LogDecision("job submitted again", fields))
    state.effects.append(BurstReply(event.token, outcome, "ended before"))


def find_refusal(
    state: BurstEntryState, event: SubmitJob, route: Route, now_ms: int
) -> tuple[str, int] | None:
    """Return why a job is refused and the retry delay in ms, or None to admit it.

    The delay is 0 where a retry would be refused as well.
    """
    if state.exiting:
        return ("entry has left", DEFAULT_RETRY_MS)
    if event.job.unsupported:
        return (f"not supported: {event.job.unsupported}", 0)
    if route.needs_advice:
        return ("not supported: routes that need advice", 0)
    step = event.job.steps[0]
    profiles = [
        view.profile
        for view in state.agents.values()
        if view.profile is not None
        and view.linked
        and view.profile.service == route.service
    ]
    discovering = state.is_discovering_workers(now_ms)
    if not profiles:
        if discovering:
            return None
        return ("no worker of the service is linked", DEFAULT_RETRY_MS)
    capable = [
        profile
        for profile in profiles
        if profile.total.covers(step.need)
        and (not step.required_label or step.required_label in profile.labels)
    ]
    if not capable:
        # Entries that are linked to other workers may know a suitable one.
        retry_ms = (
            DEFAULT_RETRY_MS
            if count_sharing_entries(state) < len(state.known_entries)
            else 0
        )
        return ("no worker is large enough or has the label", retry_ms)
    run_ms = step.estimate_ms * state.worker_slowdowns.typical_slowdown()
    if state.drain_started_ms is not None:
        remaining_ms = state.drain_started_ms + state.grace_ms - now_ms
        if run_ms + DRAIN_MARGIN_MS > remaining_ms:
            return ("entry is leaving", DEFAULT_RETRY_MS)
    max_wait_ms = max_start_wait_ms(state, route, step)
    # A job that another entry runs waits for the ends of these runs, not for capacity.
    if discovering or event.job.job_id in state.other_runs:
        return None
    wait_ms = forecast_start_wait_ms(state, now_ms, now_ms + max_wait_ms)
    if wait_ms > max_wait_ms:
        return (f"forecast wait {wait_ms:.0f} ms", admission.retry_after_ms(wait_ms))
    return None


def forecast_start_wait_ms(
    state: BurstEntryState, now_ms: int, latest_start_ms: float = 1e18
) -> float:
    """Return how long a job that arrives now would wait for its start.

    Only queued jobs that have started, or whose latest start is not after
    ``latest_start_ms``, count: they are placed before a job with this latest start.
    By default all count.
    """
    work_ahead = sum(
        job.waiting_work()
        for job in state.queue
        if job.started or job.latest_start_ms <= latest_start_ms
    )
    if work_ahead <= 0:
        return 0.0
    return admission.forecast_wait_ms(work_ahead, estimate_own_rate(state, now_ms))


def estimate_own_rate(state: BurstEntryState, now_ms: int) -> float:
    """Return the work per ms that the workers can do for this entry.

    That is its share of the capacity of all workers to which it may send orders. The
    share is the part of the used capacity that its own runs take, but at least one
    over the number of entries that share an agent.
    """
    capacity = 0.0
    used_cpu = 0
    own_cpu = 0
    for view in state.agents.values():
        if view.profile is None or not can_receive_orders(state, view, now_ms):
            continue
        capacity += view.profile.total.cpu / state.worker_slowdowns.slowdown(
            view.name, view.kind()
        )
        used_cpu += view.profile.total.cpu - view.reported_free.cpu
        own_cpu += sum(placed.job.step.need.cpu for placed in view.runs.values())
    share = own_cpu / used_cpu if used_cpu > 0 else 0.0
    return capacity * min(1.0, max(share, 1.0 / max(1, count_sharing_entries(state))))


def count_sharing_entries(state: BurstEntryState) -> int:
    """Return how many entries each agent of this entry's data centre links to."""
    return count_links_per_agent(state.data_centre, state.known_entries)


def refuse_job(
    state: BurstEntryState,
    event: SubmitJob,
    reason: str,
    retry_after_ms: int,
    now_ms: int,
) -> None:
    """Answer a caller that its job was not run.

    A job that may have run before, under an earlier submission, or that another entry
    runs, gets no answer.
    """
    job_id = event.job.job_id
    earlier = state.ended_jobs.get(job_id, UNKNOWN_JOB)
    may_run = earlier.may_have_run or state.other_runs.has_run(job_id)
    kind = ReplyKind.NO_ANSWER if may_run else ReplyKind.NOT_RUN
    state.counters["jobs_refused"] += 1
    fields: dict[str, object] = {
        "job": job_id,
        "reason": reason,
        "retry_after_ms": retry_after_ms,
        "queue": len(state.queue),
        "free_cpu": sum(
            view.available.cpu
            for view in state.agents.values()
            if can_receive_orders(state, view, now_ms)
        ),
        "config_version": state.configuration.version,
    }
    state.effects.append(LogDecision("job refused", fields))
    state.effects.append(BurstReply(event.token, kind, reason, retry_after_ms))


def admit_job(
    state: BurstEntryState, event: SubmitJob, route: Route, arrived_ms: int
) -> None:
    """Queue a job with its response-time goal and latest start time.

    Tasks that other entries have run before are done.
    """
    earlier = state.ended_jobs.get(event.job.job_id, UNKNOWN_JOB)
    job = ActiveJob(event.job, route, event.token, arrived_ms, earlier)
    if earlier.attempt:
        state.count_earlier_runs(job)
    job.may_be_copy = job.may_be_copy or state.may_be_copy(job.job.job_id, arrived_ms)
    job.latest_start_ms = arrived_ms + int(max_start_wait_ms(state, route, job.step))
    state.jobs[event.job.job_id] = job
    record_caller(state, event, arrived_ms)
    state.queue.append(job)
    state.placement_due = True
    state.counters["jobs_admitted"] += 1
    fields: dict[str, object] = {
        "job": event.job.job_id,
        "route": route.name,
        "tasks": job.step.tasks,
        "estimate_ms": job.step.estimate_ms,
        "goal_ms": int(job.goal_ms),
        "queue": len(state.queue),
        "config_version": state.configuration.version,
    }
    state.effects.append(LogDecision("job admitted", fields))
    job.mark_done(state.other_runs.done_tasks(job.job.job_id))
    if job.job.job_id in state.other_runs:
        hold_job(state, job, "", arrived_ms)


def hold_job(state: BurstEntryState, job: ActiveJob, entry: str, now_ms: int) -> None:
    """Place no tasks of a job while another entry runs it.

    ``entry`` is that entry's name, if known.
    """
    job.ran_before = True
    if job.is_held:
        return
    job.is_held = True
    state.counters["jobs_held"] += 1
    sources = state.other_runs.sources_by_job[job.job.job_id]
    relays = {source.relay for source in sources if source.relay is not None}
    fields: dict[str, object] = {
        "job": job.job.job_id,
        "entry": entry,
        "agents": sorted(source.describe() for source in sources),
        "relayed_ms_ago": {
            relay.name: now_ms - state.run_relay.heard[relay].sent_ms
            for relay in sorted(relays)
        },
        "placed": sum(task.status == "placed" for task in job.tasks),
    }
    state.effects.append(LogDecision("job held, another entry runs it", fields))


def record_caller(state: BurstEntryState, event: SubmitJob, arrived_ms: int) -> None:
    """Record which job a caller waits for, and how long."""
    state.job_ids_by_token[event.token] = event.job.job_id
    if event.deadline_ms:
        state.deadlines_by_token[event.token] = arrived_ms + event.deadline_ms


def forget_caller(state: BurstEntryState, token: int) -> ActiveJob | None:
    """Remove a caller that waits no longer; return its job, if that is active."""
    state.deadlines_by_token.pop(token, None)
    job_id = state.job_ids_by_token.pop(token, None)
    return state.jobs.get(job_id) if job_id else None


def expire_callers(state: BurstEntryState, now_ms: int) -> None:
    """End the jobs of callers whose deadline has passed, unless others wait for them.

    Such a caller may submit its job again, to any entry, although its connection is
    still open here: the end of a connection may be lost or arrive late.
    """
    expired = [
        token
        for token, deadline_ms in state.deadlines_by_token.items()
        if now_ms > deadline_ms
    ]
    for token in expired:
        job = state.jobs[state.job_ids_by_token[token]]
        if len(job.tokens) == 1:
            finish_job(state, job, ReplyKind.NOT_RUN, "deadline of the caller", now_ms)
        else:
            forget_caller(state, token)
            job.tokens.discard(token)
            state.effects.append(BurstReply(token, ReplyKind.NO_ANSWER))


@handle_entry_event.register(CallerLeft)
def on_caller_left(
    event: CallerLeft, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Cancel the job if no other caller waits for it."""
    state.early_jobs.pop(event.token, None)
    job = forget_caller(state, event.token)
    if job is None:
        return
    job.tokens.discard(event.token)
    if not job.tokens:
        # It may submit the job again, which then runs again.
        finish_job(
            state, job, ReplyKind.CANCELLED, "caller left", now_ms, is_final=False
        )


@handle_entry_event.register(ShowJob)
def on_show_job(
    event: ShowJob, state: BurstEntryState, _sender: str, _now_ms: int
) -> None:
    """Answer whether a job is queued or running."""
    found = find_job(state, event.host, event.path)
    if isinstance(found, ReplyKind):
        kind = found
    else:
        kind = ReplyKind.RUNNING if found.started else ReplyKind.QUEUED
    state.effects.append(BurstReply(event.token, kind))


def find_job(state: BurstEntryState, host: str, path: str) -> ActiveJob | ReplyKind:
    """Return the job that a path names, or the reply if there is none."""
    if state.configuration.version < 0:
        return ReplyKind.NOT_RUN
    route = state.route_table.match(host, path)
    if route is None:
        return ReplyKind.NO_ROUTE
    job = state.jobs.get(path[len(route.path_prefix) :])
    return ReplyKind.NO_JOB if job is None else job


@handle_entry_event.register(ShowQueue)
def on_show_queue(
    event: ShowQueue, state: BurstEntryState, _sender: str, _now_ms: int
) -> None:
    """Answer how many jobs of a route have no task that runs or may have run."""
    if state.configuration.version < 0:
        state.effects.append(BurstReply(event.token, ReplyKind.NOT_RUN))
        return
    route = state.route_table.match(event.host, event.path)
    if route is None:
        state.effects.append(BurstReply(event.token, ReplyKind.NO_ROUTE))
        return
    count = sum(
        not job.started and job.route.name == route.name for job in state.jobs.values()
    )
    reply = BurstReply(event.token, ReplyKind.QUEUE_LENGTH, queue_length=count)
    state.effects.append(reply)


def finish_job(
    state: BurstEntryState,
    job: ActiveJob,
    kind: ReplyKind,
    reason: str,
    now_ms: int,
    *,
    is_final: bool = True,
) -> None:
    """Remove a job, stop its runs and reply to all its callers.

    "Not run" is replied only if that is true of all submissions that are known. If the
    end is final and has an outcome, late copies of the request get the same answer.
    """
    if kind is ReplyKind.NOT_RUN and job.may_have_run:
        kind = ReplyKind.NO_ANSWER
    state.jobs.pop(job.job.job_id, None)
    if job in state.queue:
        state.queue.remove(job)
        state.placement_due = True
    outcome = kind if is_final and kind in FINAL_OUTCOMES else None
    ended = EndedJob(job.attempt, job.may_have_run, outcome, now_ms)
    state.remember_job(job.job.job_id, ended)
    stop_job_runs(state, job)
    state.counters[f"jobs_{kind.value.replace(' ', '_')}"] += 1
    retry_ms = 0
    if kind is ReplyKind.NOT_RUN:
        retry_ms = admission.retry_after_ms(forecast_start_wait_ms(state, now_ms))
    for token in sorted(job.tokens):
        forget_caller(state, token)
        state.effects.append(BurstReply(token, kind, reason, retry_ms))
    state.effects.append(ObserveLatency("job", kind.value, now_ms - job.arrived_ms))
    fields: dict[str, object] = {
        "job": job.job.job_id,
        "route": job.route.name,
        "outcome": kind.value,
        "reason": reason,
        "took_ms": now_ms - job.arrived_ms,
        "goal_ms": int(job.goal_ms),
        "callers": len(job.tokens),
        "failures": sum(task.failures for task in job.tasks),
        "attempts": job.attempt,
    }
    state.effects.append(LogDecision("job ended", fields))


def finish_job_if_done(state: BurstEntryState, job: ActiveJob, now_ms: int) -> None:
    """Finish a job as completed once all its tasks are done."""
    if not state.is_active(job):
        return
    if all(task.status == "done" for task in job.tasks):
        finish_job(state, job, ReplyKind.COMPLETED, "all tasks done", now_ms)


def stop_job_runs(state: BurstEntryState, job: ActiveJob) -> None:
    """Stop the runs of a job, with one message per agent.

    The message is lost if the agent has no link; the log shows whether it has.
    """
    by_agent: dict[str, list[ActiveTask]] = {}
    for task in job.tasks:
        if task.status == "placed":
            by_agent.setdefault(task.agent, []).append(task)
    for name, tasks in by_agent.items():
        refs = tuple(job.run_ref(task) for task in tasks)
        state.effects.append(Send(name, StopRuns(refs)))
        view = state.agents.get(name)
        fields: dict[str, object] = {
            "job": job.job.job_id,
            "agent": name,
            "tasks": [task.index for task in tasks],
            "attempts": [task.attempt for task in tasks],
            "linked": view is not None and view.linked,
        }
        state.effects.append(LogDecision("runs stop ordered", fields))


def expire_waiting_jobs(state: BurstEntryState, now_ms: int) -> None:
    """Finish queued jobs that can no longer be served in time.

    A job that has not started is refused after its latest start, unless it is held
    while another entry runs it. In a queued job that has started, some tasks wait for a
    retry, or for their first run if not all tasks fitted at once. Both may wait longer,
    for ``ABANDON_AFTER_GOALS`` times their response-time goal. Their callers then get
    no answer, as other tasks may have run. A job that waits for the configuration is
    refused after ``MAX_CONFIGURATION_WAIT_MS``.
    """
    refuse_early_jobs(state, MAX_CONFIGURATION_WAIT_MS, "no configuration yet", now_ms)
    for job in list(state.queue):
        may_wait = job.started or job.is_held
        if not may_wait and now_ms > job.latest_start_ms:
            finish_job(state, job, ReplyKind.NOT_RUN, "no room in time", now_ms)
        elif may_wait and now_ms > job.arrived_ms + ABANDON_AFTER_GOALS * job.goal_ms:
            reason = "held too long" if job.is_held else "no room for a repeat"
            finish_job(state, job, ReplyKind.NO_ANSWER, reason, now_ms)


def finish_all_jobs(state: BurstEntryState, now_ms: int) -> None:
    """Finish all jobs when the process has to exit.

    The callers of a started job get no answer, as its outcome is not known; they may
    submit it again.
    """
    refuse_early_jobs(state, -1, "entry is leaving", now_ms)
    for job in list(state.jobs.values()):
        finish_job(state, job, ReplyKind.NOT_RUN, "entry is leaving", now_ms)
