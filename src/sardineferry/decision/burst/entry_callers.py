"""The entry's rules on callers: admission, giving up, cancelling, answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import admission
from sardineferry.decision.burst.configuration import match_route
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.effects import ObserveLatency
from sardineferry.decision.burst.entry_choice import link_count
from sardineferry.decision.burst.entry_placing import usable
from sardineferry.decision.burst.entry_rules import handle_entry_event
from sardineferry.decision.burst.entry_state import ActiveJob
from sardineferry.decision.burst.entry_state import goal_of
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import CallerLeft
from sardineferry.decision.burst.requests import CancelJob
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.requests import ShowJob
from sardineferry.decision.burst.requests import ShowQueue
from sardineferry.decision.burst.requests import SubmitJob
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import StopRuns

if TYPE_CHECKING:
    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.messages.burst import RunRef

__all__ = ["check_queue", "finish", "give_up_all"]

# Nobody earns or plans by an answer this many response-time goals late.
LATE_GOALS = 3
# While leaving: kept between a job's expected end and the end of the grace.
LEAVE_MARGIN_MS = 1_500
# A caller is asked to come back after this when no worker is known yet.
NO_WORKER_RETRY_MS = 500


@handle_entry_event.register(SubmitJob)
def on_submit(
    event: SubmitJob, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Admit a job, join it to its earlier submission, or refuse it at once."""
    if state.left:
        refuse(state, event, "entry has left", NO_WORKER_RETRY_MS)
        return
    if state.configuration.version < 0:
        refuse(state, event, "no configuration yet", NO_WORKER_RETRY_MS)
        return
    route = match_route(state.configuration, event.host, event.path)
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
        state.token_jobs[event.token] = event.job.job_id
        state.effects.append(
            LogDecision("job submitted again", {"job": event.job.job_id})
        )
        return
    refusal = refusal_of(state, event, route, now_ms)
    if refusal is not None:
        refuse(state, event, *refusal)
        return
    admit(state, event, route, now_ms)


def refusal_of(
    state: BurstEntryState, event: SubmitJob, route: Route, now_ms: int
) -> tuple[str, int] | None:
    """Return why a job can't be served, with the delay to come back after."""
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
    starting = state.is_starting(now_ms)
    if not profiles:
        if starting:
            return None
        return ("no worker of the service is linked", NO_WORKER_RETRY_MS)
    able = [
        profile
        for profile in profiles
        if profile.total.covers(step.need)
        and (not step.required_label or step.required_label in profile.labels)
    ]
    if not able:
        # Entries that are linked to other workers may know one.
        retry_ms = NO_WORKER_RETRY_MS if sharers(state) < len(state.places) else 0
        return ("no worker is large enough or has the label", retry_ms)
    work_ms = state.work.predict_ms(route.name, step.estimate_ms)
    run_ms = work_ms * state.speeds.typical()
    if state.leaving_ms is not None:
        left_ms = state.leaving_ms + state.grace_ms - now_ms
        if run_ms + LEAVE_MARGIN_MS > left_ms:
            return ("entry is leaving", NO_WORKER_RETRY_MS)
    goal_ms = goal_of(route, work_ms)
    slack_ms = admission.give_up_after_ms(goal_ms, run_ms)
    wait_ms = forecast_ms(state, now_ms, now_ms + slack_ms)
    if not starting and wait_ms > slack_ms:
        return (f"forecast wait {wait_ms:.0f} ms", admission.retry_after_ms(wait_ms))
    return None


def forecast_ms(state: BurstEntryState, now_ms: int, before_ms: float = 1e18) -> float:
    """Return how long a job that arrives now waits for its start."""
    ahead = sum(
        job.work_waiting() for job in state.queue if job.give_up_ms <= before_ms
    )
    if ahead <= 0:
        return 0.0
    return admission.forecast_wait_ms(ahead, own_rate(state, now_ms))


def own_rate(state: BurstEntryState, now_ms: int) -> float:
    """Return the work per millisecond that this entry can count on.

    Of the work that all workers do, it is the share of the room in use that
    its own runs take, and at least that of one entry among all.
    """
    capacity = 0.0
    used = 0
    own = 0
    for view in state.agents.values():
        if view.profile is None or not usable(view, now_ms):
            continue
        capacity += view.profile.total.cpu / state.speeds.factor(view.name, view.kind())
        used += view.profile.total.cpu - view.free.cpu
        own += sum(placed.job.step.need.cpu for placed in view.runs.values())
    share = own / used if used > 0 else 0.0
    return capacity * min(1.0, max(share, 1.0 / max(1, sharers(state))))


def sharers(state: BurstEntryState) -> int:
    """Return how many entries share the agents that this one is linked to."""
    return link_count(state.data_centre, state.places)


def refuse(
    state: BurstEntryState, event: SubmitJob, reason: str, retry_after_ms: int
) -> None:
    """Tell a caller that its job has not run."""
    state.counters["jobs_refused"] += 1
    fields: dict[str, object] = {
        "job": event.job.job_id,
        "reason": reason,
        "retry_after_ms": retry_after_ms,
        "queue": len(state.queue),
        "config_version": state.configuration.version,
    }
    state.effects.append(LogDecision("job refused", fields))
    state.effects.append(
        BurstReply(event.token, ReplyKind.NOT_RUN, reason, retry_after_ms)
    )


def admit(state: BurstEntryState, event: SubmitJob, route: Route, now_ms: int) -> None:
    """Queue a job by the time at which it has to start."""
    earlier = state.attempts.get(event.job.job_id, 0)
    work_ms = state.work.predict_ms(route.name, event.job.steps[0].estimate_ms)
    job = ActiveJob(event.job, route, event.token, now_ms, earlier, work_ms)
    run_ms = work_ms * state.speeds.typical()
    job.give_up_ms = now_ms + int(admission.give_up_after_ms(job.goal_ms, run_ms))
    state.jobs[event.job.job_id] = job
    state.token_jobs[event.token] = event.job.job_id
    state.queue.append(job)
    state.placing_due = True
    state.counters["jobs_admitted"] += 1
    fields: dict[str, object] = {
        "job": event.job.job_id,
        "route": route.name,
        "tasks": job.step.tasks,
        "estimate_ms": job.step.estimate_ms,
        "work_ms": int(work_ms),
        "goal_ms": int(job.goal_ms),
        "queue": len(state.queue),
        "config_version": state.configuration.version,
    }
    state.effects.append(LogDecision("job admitted", fields))


@handle_entry_event.register(CallerLeft)
def on_caller_left(
    event: CallerLeft, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Stop a job that nobody waits for."""
    job_id = state.token_jobs.pop(event.token, None)
    job = state.jobs.get(job_id) if job_id else None
    if job is None:
        return
    job.tokens.discard(event.token)
    if not job.tokens:
        finish(state, job, ReplyKind.CANCELLED, "caller left", now_ms)


@handle_entry_event.register(CancelJob)
def on_cancel(
    event: CancelJob, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Cancel a job; its submitter is told so."""
    found = find_job(state, event.host, event.path)
    if isinstance(found, ReplyKind):
        state.effects.append(BurstReply(event.token, found))
        return
    finish(state, found, ReplyKind.CANCELLED, "cancelled", now_ms)
    state.effects.append(BurstReply(event.token, ReplyKind.CANCELLED))


@handle_entry_event.register(ShowJob)
def on_show_job(
    event: ShowJob, state: BurstEntryState, _sender: str, _now_ms: int
) -> None:
    """Tell a job's state."""
    found = find_job(state, event.host, event.path)
    if isinstance(found, ReplyKind):
        kind = found
    else:
        kind = ReplyKind.RUNNING if found.started else ReplyKind.QUEUED
    state.effects.append(BurstReply(event.token, kind))


def find_job(state: BurstEntryState, host: str, path: str) -> ActiveJob | ReplyKind:
    """Return the job that a path names, or why there is none."""
    if state.configuration.version < 0:
        return ReplyKind.NOT_RUN
    route = match_route(state.configuration, host, path)
    if route is None:
        return ReplyKind.NO_ROUTE
    job = state.jobs.get(path[len(route.path_prefix) :])
    return ReplyKind.NO_JOB if job is None else job


@handle_entry_event.register(ShowQueue)
def on_show_queue(
    event: ShowQueue, state: BurstEntryState, _sender: str, _now_ms: int
) -> None:
    """Tell how many jobs of a route have not begun."""
    if state.configuration.version < 0:
        state.effects.append(BurstReply(event.token, ReplyKind.NOT_RUN))
        return
    route = match_route(state.configuration, event.host, event.path)
    if route is None:
        state.effects.append(BurstReply(event.token, ReplyKind.NO_ROUTE))
        return
    count = sum(
        not job.started and job.route.name == route.name for job in state.jobs.values()
    )
    reply = BurstReply(event.token, ReplyKind.QUEUE_LENGTH, queue_length=count)
    state.effects.append(reply)


def finish(
    state: BurstEntryState, job: ActiveJob, kind: ReplyKind, reason: str, now_ms: int
) -> None:
    """Answer a job's callers, once, and stop what still runs of it."""
    state.jobs.pop(job.job.job_id, None)
    if job in state.queue:
        state.queue.remove(job)
        state.placing_due = True
    state.remember_attempt(job)
    stop_job(state, job)
    state.counters[f"jobs_{kind.value.replace(' ', '_')}"] += 1
    retry_ms = 0
    if kind is ReplyKind.NOT_RUN:
        retry_ms = admission.retry_after_ms(forecast_ms(state, now_ms))
    for token in sorted(job.tokens):
        state.token_jobs.pop(token, None)
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


def stop_job(state: BurstEntryState, job: ActiveJob) -> None:
    """Stop the runs of a job, one message an agent."""
    by_agent: dict[str, list[RunRef]] = {}
    for task in job.tasks:
        if task.status == "placed":
            by_agent.setdefault(task.agent, []).append(job.ref(task))
    for name, refs in by_agent.items():
        state.effects.append(Send(name, StopRuns(tuple(refs))))


def check_queue(state: BurstEntryState, now_ms: int) -> None:
    """Answer jobs at once that can no longer be served in time."""
    for job in list(state.queue):
        if not job.started and now_ms > job.give_up_ms:
            finish(state, job, ReplyKind.NOT_RUN, "no room in time", now_ms)
        elif job.started and now_ms > job.arrived_ms + LATE_GOALS * job.goal_ms:
            finish(state, job, ReplyKind.NO_ANSWER, "no room for a repeat", now_ms)


def give_up_all(state: BurstEntryState, now_ms: int) -> None:
    """Answer what is left when the process has to end.

    A job that may have begun gets no answer: its outcome is not known, and
    its caller may submit it again.
    """
    for job in list(state.jobs.values()):
        kind = ReplyKind.NO_ANSWER if job.started else ReplyKind.NOT_RUN
        finish(state, job, kind, "entry is leaving", now_ms)
