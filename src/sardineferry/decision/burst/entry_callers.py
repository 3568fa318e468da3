"""Event handlers of the entry for callers: admit, refuse, answer jobs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst import admission
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.burst.entry_dispatch import handle_entry_event
from sardineferry.decision.burst.entry_placement import can_receive_orders
from sardineferry.decision.burst.entry_placement import can_run_job
from sardineferry.decision.burst.entry_placement import max_start_wait_ms
from sardineferry.decision.burst.entry_state import UNKNOWN_JOB
from sardineferry.decision.burst.entry_state import ActiveJob
from sardineferry.decision.burst.entry_state import EarlyJob
from sardineferry.decision.burst.entry_state import EndedJob
from sardineferry.decision.burst.entry_state import response_time_goal_ms
from sardineferry.decision.burst.link_selection import count_links_per_agent
from sardineferry.decision.burst.overload import ForecastTerms
from sardineferry.decision.burst.overload import WaitingJob
from sardineferry.decision.burst.overload import find_jobs_to_give_up
from sardineferry.decision.burst.overload import is_served_before
from sardineferry.decision.burst.overload import jittered_retry_after_ms
from sardineferry.decision.burst.overload import max_decision_wait_ms
from sardineferry.decision.burst.overload import refusal_counter
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import ShowJob
from sardineferry.decision.burst.requests import ShowQueue
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.burst.wide_jobs import ABANDON_AFTER_GOALS
from sardineferry.decision.burst.wide_jobs import describe_excess
from sardineferry.decision.burst.wide_jobs import find_task_limit_refusal
from sardineferry.decision.burst.wide_jobs import find_width_refusal
from sardineferry.decision.burst.wide_jobs import max_job_ms
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import StopRuns

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.requests import BurstJob

__all__ = [
    "admit_early_jobs",
    "estimate_own_rate",
    "expire_callers",
    "expire_waiting_jobs",
    "find_job",
    "finish_all_jobs",
    "finish_job",
    "finish_job_if_done",
    "forecast_priority_wait_ms",
    "forecast_start_wait_ms",
    "hold_job",
    "stop_job_runs",
]

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
# Rates are used for this long. An estimate over 53 agents takes a quarter of a ms, and
# an entry forecasts for each job that arrives.
RATES_VALID_MS = 10
# Begins the reason of a refusal that rests on a forecast.
FORECAST_REASON = "forecast wait"
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
    admit_job(state, event, route, arrived_ms, now_ms)


def is_done_elsewhere(state: BurstEntryState, job: BurstJob) -> bool:
    """Return whether other entries have run all tasks of a job."""
    done = state.other_runs.done_tasks(job.job_id)
    # Compared first, as the number of tasks has not been checked yet.
    tasks = job.steps[0].tasks
    return tasks <= len(done) and done >= set(range(tasks))


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
    too_many = find_task_limit_refusal(state, step, DEFAULT_RETRY_MS)
    if too_many is not None:
        return too_many
    profiles = [
        view.profile
        for view in state.agents.values()
        if view.profile is not None
        and view.linked
        and view.profile.service == route.service
        and not state.evacuation.is_evacuated(view.data_centre)
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
    too_wide = find_width_refusal(state, event, route)
    if too_wide is not None:
        return too_wide
    if is_prioritised(state, route):
        if can_be_overtaken(state, route):
            goal_ms = response_time_goal_ms(route, step.estimate_ms)
            max_wait_ms = max_decision_wait_ms(goal_ms, max_wait_ms)
        return find_overload_refusal(state, event, route, int(max_wait_ms), now_ms)
    wait_ms = forecast_start_wait_ms(state, now_ms, now_ms + max_wait_ms)
    if wait_ms > max_wait_ms:
        return (
            f"{FORECAST_REASON} {wait_ms:.0f} ms",
            admission.retry_after_ms(wait_ms),
        )
    return None


class WorkerRates(NamedTuple):
    """Work per ms of all workers that may be sent orders, and this entry's share."""

    total: float
    own: float


def is_prioritised(state: BurstEntryState, route: Route) -> bool:
    """Return whether the routes of the service have different priorities."""
    return route.service in state.route_table.prioritised_services


def can_be_overtaken(state: BurstEntryState, route: Route) -> bool:
    """Return whether the service has a more urgent route."""
    services = state.route_table.prioritised_services
    return route.priority > services.get(route.service, route.priority)


def find_overload_refusal(
    state: BurstEntryState,
    event: SubmitJob,
    route: Route,
    max_wait_ms: int,
    now_ms: int,
) -> tuple[str, int] | None:
    """Return why a job of a service with priorities is refused, or None to admit it.

    It is refused if it can't start in time, or if jobs of its priority that were
    admitted before could not. Less urgent ones may be given up for it.
    """
    step = event.job.steps[0]
    latest_start_ms = now_ms + max_wait_ms
    work = step.tasks * step.need.cpu * step.estimate_ms
    arriving = WaitingJob(
        event.job.job_id, route.priority, now_ms, latest_start_ms, work
    )
    if arriving not in find_unstartable_jobs(state, route.service, now_ms, [arriving]):
        return None
    own_work = own_work_ahead(state, route.priority, latest_start_ms)
    if own_work <= 0 and has_free_worker(state, event.job, route, now_ms):
        # The backlog of other entries may be out of date.
        return None
    wait_ms = forecast_priority_wait_ms(state, route.priority, now_ms, latest_start_ms)
    reason = (
        f"{FORECAST_REASON} {wait_ms:.0f} ms"
        if wait_ms > max_wait_ms
        else f"{FORECAST_REASON} of earlier jobs"
    )
    return (reason, jittered_retry_after_ms(wait_ms, state.random))


def find_unstartable_jobs(
    state: BurstEntryState,
    service: str,
    now_ms: int,
    arriving: Iterable[WaitingJob] = (),
) -> list[WaitingJob]:
    """Return the jobs of a service to give up, so that all others start in time.

    ``arriving`` jobs are not in the queue yet.
    """
    waiting = [job.waiting_job() for job in state.queue if job.route.service == service]
    return find_jobs_to_give_up(
        [*waiting, *arriving],
        lambda priority: forecast_terms(state, priority, now_ms),
        now_ms,
    )


def own_work_ahead(
    state: BurstEntryState, priority: int | None, latest_start_ms: float
) -> float:
    """Return the waiting work of this entry that is served before such a job."""
    return sum(
        job.waiting_work()
        for job in state.queue
        if is_served_before(
            job.waiting_job(),
            job.priority if priority is None else priority,
            latest_start_ms,
        )
    )


def forecast_priority_wait_ms(
    state: BurstEntryState,
    priority: int,
    now_ms: int,
    latest_start_ms: float = math.inf,
) -> float:
    """Return how long a job of a priority that arrives now would wait for its start.

    All more urgent jobs count, jobs of its priority whose latest start is not after
    ``latest_start_ms``, and no less urgent ones that have not started. The work of
    other entries counts as far as it is known.
    """
    own_work = own_work_ahead(state, priority, latest_start_ms)
    return forecast_terms(state, priority, now_ms).wait_ms(own_work)


def forecast_terms(state: BurstEntryState, priority: int, now_ms: int) -> ForecastTerms:
    """Return the terms of the forecast for jobs of a priority."""
    rates = recent_rates(state, now_ms)
    urgent_rate = state.arrival_rates.rate_before(priority, now_ms)
    urgent_share = urgent_rate / rates.own if rates.own > 0 else 0.0
    backlog = state.known_backlog
    if not backlog.is_known(now_ms):
        return ForecastTerms(rates.own, urgent_share=urgent_share)
    others_yield = any(known > priority for known in backlog.work_by_priority(now_ms))
    return ForecastTerms(
        rates.own,
        rates.total,
        backlog.work_ahead(priority, now_ms),
        others_yield,
        urgent_share,
    )


def has_free_worker(
    state: BurstEntryState, job: BurstJob, route: Route, now_ms: int
) -> bool:
    """Return whether a worker that suits the job is known to have capacity for it.

    Capacity that waiting jobs are withheld for counts, too.
    """
    return any(
        view.available.covers(job.steps[0].need)
        and can_run_job(view, job, route)
        and can_receive_orders(state, view, now_ms)
        for view in state.agents.values()
    )


def forecast_start_wait_ms(
    state: BurstEntryState,
    now_ms: int,
    latest_start_ms: float = math.inf,
) -> float:
    """Return how long a job that arrives now would wait for its start.

    Only queued jobs that have started, or whose latest start is not after
    ``latest_start_ms``, count: they are placed before a job with this latest start.
    By default all count.
    """
    work_ahead = own_work_ahead(state, None, latest_start_ms)
    if work_ahead <= 0:
        return 0.0
    return admission.forecast_wait_ms(work_ahead, estimate_own_rate(state, now_ms))


def estimate_own_rate(state: BurstEntryState, now_ms: int) -> float:
    """Return the work per ms that the workers can do for this entry."""
    return estimate_rates(state, now_ms).own


def recent_rates(state: BurstEntryState, now_ms: int) -> WorkerRates:
    """Return the rates, estimated anew only if the last ones are too old."""
    known = state.known_rates
    if known is None or now_ms - known[0] >= RATES_VALID_MS:
        known = (now_ms, estimate_rates(state, now_ms))
        state.known_rates = known
    return known[1]


def estimate_rates(state: BurstEntryState, now_ms: int) -> WorkerRates:
    """Return the rate of all workers that may be sent orders, and this entry's share.

    The share is the part of the used capacity that its own runs take, but at least one
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
    share = min(1.0, max(share, 1.0 / max(1, count_sharing_entries(state))))
    return WorkerRates(capacity, capacity * share)


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
    route = state.route_table.match(event.host, event.path)
    terms: dict[str, object] = {}
    if route is not None and is_prioritised(state, route):
        state.counters[refusal_counter("refused", route.priority, reason)] += 1
        terms["priority"] = route.priority
        if reason.startswith(FORECAST_REASON):
            terms = describe_forecast(state, route.priority, now_ms)
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
        **terms,
    }
    state.effects.append(LogDecision("job refused", fields))
    state.effects.append(BurstReply(event.token, kind, reason, retry_after_ms))


def describe_forecast(
    state: BurstEntryState, priority: int, now_ms: int
) -> dict[str, object]:
    """Return a priority and the terms of its forecast as fields of a log line."""
    own_work = own_work_ahead(state, priority, math.inf)
    terms = forecast_terms(state, priority, now_ms)
    return {
        "priority": priority,
        "own_work": int(own_work),
        "others_work": None if terms.other_work is None else int(terms.other_work),
        "rate": int(terms.total_rate),
        "own_rate": int(terms.own_rate),
        "urgent_share": round(terms.urgent_share, 2),
        "forecast_wait_ms": int(terms.wait_ms(own_work)),
    }


def admit_job(
    state: BurstEntryState,
    event: SubmitJob,
    route: Route,
    arrived_ms: int,
    now_ms: int,
) -> None:
    """Queue a job with its response-time goal and latest start time.

    Tasks that other entries have run before are done.
    """
    earlier = state.ended_jobs.get(event.job.job_id, UNKNOWN_JOB)
    job = ActiveJob(
        event.job,
        route,
        event.token,
        arrived_ms,
        earlier,
        is_prioritised=is_prioritised(state, route),
    )
    if earlier.attempt:
        state.count_earlier_runs(job)
    job.may_be_copy = job.may_be_copy or state.may_be_copy(job.job.job_id, arrived_ms)
    max_wait_ms = max_start_wait_ms(state, route, job.step)
    if can_be_overtaken(state, route):
        max_wait_ms = max_decision_wait_ms(job.goal_ms, max_wait_ms)
    job.latest_start_ms = arrived_ms + int(max_wait_ms)
    state.jobs[event.job.job_id] = job
    state.task_count += job.step.tasks
    state.task_durations.add(route.priority, job.step.estimate_ms)
    record_caller(state, event, arrived_ms)
    state.queue.append(job)
    state.placement_due = True
    if job.is_prioritised:
        state.arrival_rates.add(job.priority, job.waiting_work(), now_ms)
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
    if state.jobs.pop(job.job.job_id, None) is not None:
        state.task_count -= job.step.tasks
    if job in state.queue:
        state.queue.remove(job)
        state.placement_due = True
    outcome = kind if is_final and kind in FINAL_OUTCOMES else None
    ended = EndedJob(job.attempt, job.may_have_run, outcome, now_ms)
    state.remember_job(job.job.job_id, ended)
    stop_job_runs(state, job)
    state.counters[f"jobs_{kind.value.replace(' ', '_')}"] += 1
    retry_ms = 0
    terms: dict[str, object] = {"priority": job.priority} if job.is_prioritised else {}
    if kind is ReplyKind.NOT_RUN and job.is_prioritised:
        wait_ms = forecast_priority_wait_ms(state, job.priority, now_ms)
        retry_ms = jittered_retry_after_ms(wait_ms, state.random)
        state.counters[refusal_counter("given_up", job.priority, reason)] += 1
        terms = describe_forecast(state, job.priority, now_ms)
    elif kind is ReplyKind.NOT_RUN:
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
        **terms,
    }
    state.effects.append(LogDecision("job ended", fields))
    job.forget_tasks()


def finish_job_if_done(state: BurstEntryState, job: ActiveJob, now_ms: int) -> None:
    """Finish a job as completed once all its tasks are done."""
    if not state.is_active(job):
        return
    if job.is_done:
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
    refused after ``MAX_CONFIGURATION_WAIT_MS``. Jobs of services with priorities are
    refused as soon as the forecast says that they can't start in time.
    """
    refuse_early_jobs(state, MAX_CONFIGURATION_WAIT_MS, "no configuration yet", now_ms)
    for job in list(state.queue):
        may_wait = job.started or job.is_held
        if not may_wait and now_ms > job.latest_start_ms:
            finish_job(state, job, ReplyKind.NOT_RUN, "no room in time", now_ms)
        elif may_wait and now_ms > job.arrived_ms + ABANDON_AFTER_GOALS * job.goal_ms:
            reason = "held too long" if job.is_held else "no room for a repeat"
            finish_job(state, job, ReplyKind.NO_ANSWER, reason, now_ms)
    give_up_wide_jobs(state, now_ms)
    give_up_unstartable_jobs(state, now_ms)
    state.next_refusal_ms = min(
        (
            job.latest_start_ms + 1
            for job in state.queue
            if job.waiting_job().may_be_given_up
        ),
        default=math.inf,
    )


def give_up_wide_jobs(state: BurstEntryState, now_ms: int) -> None:
    """Give up queued jobs that can't end in time even with all workers to themselves.

    They were admitted while workers were unknown, or workers have left since.
    """
    if state.is_discovering_workers(now_ms):
        return
    for job in list(state.queue):
        if job.is_held:
            continue
        left_ms = job.arrived_ms + max_job_ms(job.route, job.step) - now_ms
        tasks = job.counts.waiting
        reason = describe_excess(state, job.job, job.route, tasks, left_ms)
        if reason:
            finish_job(state, job, ReplyKind.NOT_RUN, reason, now_ms)


def give_up_unstartable_jobs(state: BurstEntryState, now_ms: int) -> None:
    """Refuse queued jobs of services with priorities that can't start in time.

    Not refused is a job that is served first while a worker has capacity for it.
    """
    if state.is_discovering_workers(now_ms):
        return
    services = {job.route.service for job in state.queue if job.is_prioritised}
    for service in sorted(services):
        for unstartable in find_unstartable_jobs(state, service, now_ms):
            job = state.jobs[unstartable.job_id]
            own_work = own_work_ahead(state, job.priority, job.latest_start_ms)
            is_first = own_work <= job.waiting_work()
            if is_first and has_free_worker(state, job.job, job.route, now_ms):
                continue
            reason = "forecast start too late"
            finish_job(state, job, ReplyKind.NOT_RUN, reason, now_ms)


def finish_all_jobs(state: BurstEntryState, now_ms: int) -> None:
    """Finish all jobs when the process has to exit.

    The callers of a started job get no answer, as its outcome is not known; they may
    submit it again.
    """
    refuse_early_jobs(state, -1, "entry is leaving", now_ms)
    for job in list(state.jobs.values()):
        finish_job(state, job, ReplyKind.NOT_RUN, "entry is leaving", now_ms)
