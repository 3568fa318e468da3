"""Assigns waiting tasks to agents.

Jobs are placed by priority and latest start time, started ones before all others. A job
that does not fit takes the capacity that is free, and the workers that it waits for are
withheld from later jobs, but not from more urgent ones. Otherwise jobs with few tasks
would starve jobs with many.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.cold_workers import expected_slowdown
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_state import AgentView
from sardineferry.decision.burst.entry_state import PlacedRun
from sardineferry.decision.burst.overload import WithheldAgents
from sardineferry.decision.burst.overload import service_order
from sardineferry.decision.burst.overload.left_capacity import leave_capacity
from sardineferry.decision.burst.placement import Candidate
from sardineferry.decision.burst.placement import is_capacity_scarce
from sardineferry.decision.burst.placement import place_tasks
from sardineferry.decision.burst.placement import rank_candidates
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import WatchRoom

if TYPE_CHECKING:
    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.requests import BurstJob

__all__ = ["can_receive_orders", "can_run_job", "place_waiting_tasks"]

# Free capacity is assumed to be unchanged for this long after the agent's latest
# timestamp arrived. An agent that sends frequent capacity updates to three entries
# sends each of them up to four in this time.
FRESH_CAPACITY_MS = 40
# Capacity for this many tasks is seldom used up before an order arrives.
AMPLE_CAPACITY_TASKS = 3


def can_receive_orders(state: BurstEntryState, view: AgentView, now_ms: int) -> bool:
    """Return whether orders to start runs may be sent to an agent.

    After a pause of this process, the agent must have been heard since.
    """
    bound_ms = timing.SILENCE_LIMIT_MS if view.runs else timing.IDLE_SILENCE_LIMIT_MS
    return (
        view.linked
        and view.accepting
        and not state.evacuation.is_evacuated(view.data_centre)
        and view.profile is not None
        and now_ms - view.last_heard_ms <= bound_ms
        and state.caught_up_ms is not None
        and view.last_heard_ms >= state.caught_up_ms
        and view.health.allows(now_ms)
    )


class EligibleAgents(NamedTuple):
    """Agents that may be sent orders, and their workers' slowdowns by agent name."""

    views: list[AgentView]
    slowdowns: dict[str, float]


def find_eligible_agents(state: BurstEntryState, now_ms: int) -> EligibleAgents:
    """Return all agents that may be sent orders now."""
    views = [
        view
        for view in state.agents.values()
        if can_receive_orders(state, view, now_ms)
    ]
    slowdowns = {
        view.name: expected_slowdown(state.worker_slowdowns, view, now_ms)
        for view in views
    }
    return EligibleAgents(views, slowdowns)


def place_waiting_tasks(state: BurstEntryState, now_ms: int) -> None:
    """Place waiting tasks if some may fit since the last call.

    Jobs with tasks that do not fit stay in the queue. After a start none are placed
    until all agents should have linked, which tell what runs.
    """
    if not state.queue or not state.placement_due or state.is_awaiting_links(now_ms):
        return
    state.placement_due = False
    min_cpu = min(job.step.need.cpu for job in state.queue)
    eligible = find_eligible_agents(state, now_ms)
    with_capacity = {
        view.name for view in eligible.views if view.available.cpu >= max(1, min_cpu)
    }
    state.queue.sort(
        key=lambda job: service_order(job.started, job.priority, job.latest_start_ms)
    )
    withheld_agents = WithheldAgents()
    for job in list(state.queue):
        # No worker with free capacity is left for this job.
        if withheld_agents.are_withheld(with_capacity, job.priority):
            # Later jobs may be more urgent than a started one, but no others.
            if job.started:
                continue
            break
        if job.is_too_late_to_start(now_ms):
            continue
        views = [
            view for view in eligible.views if can_run_job(view, job.job, job.route)
        ]
        preferred = preferred_agents(
            job, EligibleAgents(views, eligible.slowdowns), now_ms
        )
        with leave_capacity(state, job, preferred.views, now_ms):
            place_job_tasks(state, job, preferred, withheld_agents, now_ms)
        if job.placeable_tasks():
            withheld_agents.withhold(
                (view.name for view in preferred.views), job.priority
            )
        elif not job.waiting_tasks():
            state.queue.remove(job)
    if state.queue:
        request_capacity_updates(state, eligible.views, now_ms)


def request_capacity_updates(
    state: BurstEntryState, views: list[AgentView], now_ms: int
) -> None:
    """Ask agents to report each change of free capacity while jobs wait."""
    for view in views:
        if now_ms >= view.updates_requested_until_ms:
            view.updates_requested_until_ms = (
                now_ms + timing.FREQUENT_UPDATES_RENEWAL_MS
            )
            state.effects.append(Send(view.name, WatchRoom()))


def can_run_job(view: AgentView, job: BurstJob, route: Route) -> bool:
    """Return whether a worker has the job's service and its required label."""
    label = job.steps[0].required_label
    return (
        view.profile is not None
        and view.profile.service == route.service
        and (not label or label in view.profile.labels)
    )


def meets_goal(job: ActiveJob, slowdown: float, now_ms: int) -> bool:
    """Return whether a task started now should meet the response-time goal."""
    run_ms = job.step.estimate_ms * slowdown
    return now_ms + run_ms <= job.arrived_ms + job.goal_ms


def preferred_agents(
    job: ActiveJob, eligible: EligibleAgents, now_ms: int
) -> EligibleAgents:
    """Return the agents where the job can meet its goal, or all if there is none.

    A job waits for one of these agents rather than start where it would be late.
    """
    in_time = [
        view
        for view in eligible.views
        if meets_goal(job, eligible.slowdowns[view.name], now_ms)
    ]
    return EligibleAgents(in_time or eligible.views, eligible.slowdowns)


def place_job_tasks(
    state: BurstEntryState,
    job: ActiveJob,
    eligible: EligibleAgents,
    withheld_agents: WithheldAgents,
    now_ms: int,
) -> None:
    """Place as many tasks of a job as fit at agents that are not withheld from it.

    Tasks that avoid the same agents are placed together.
    """
    scarce = is_capacity_scarce(
        sum(view.available.cpu for view in eligible.views),
        sum(
            view.profile.total.cpu
            for view in eligible.views
            if view.profile is not None
        ),
    )
    groups: dict[frozenset[str], list[ActiveTask]] = {}
    for task in job.placeable_tasks():
        groups.setdefault(frozenset(task.avoided_agents), []).append(task)
    step = job.step
    for avoided_agents, tasks in groups.items():
        found = [
            make_candidate(
                state, job, view, eligible.slowdowns[view.name], avoided_agents, now_ms
            )
            for view in eligible.views
            if view.available.covers(step.need)
            and not withheld_agents.is_withheld(view.name, job.priority)
        ]
        candidates = rank_candidates(found, scarce, state.random)
        remaining = tasks
        for name, count in place_tasks(
            len(tasks), step.need, step.spread_limit, candidates
        ):
            chosen, remaining = remaining[:count], remaining[count:]
            send_start_order(state, job, state.agents[name], chosen, now_ms)


def make_candidate(
    state: BurstEntryState,
    job: ActiveJob,
    view: AgentView,
    slowdown: float,
    avoided_agents: frozenset[str],
    now_ms: int,
) -> Candidate:
    """Describe a worker as a candidate for the tasks of a job."""
    # An ejected worker is probed with a single task.
    probe = view.health.state == "open"
    return Candidate(
        view.name,
        job.step.need if probe else view.available,
        slowdown,
        view.data_centre == state.data_centre,
        view.name in avoided_agents,
        meets_goal(job, slowdown, now_ms),
        is_likely_available(view, job, now_ms),
        is_cold=now_ms < view.cold_until_ms,
    )


def is_likely_available(view: AgentView, job: ActiveJob, now_ms: int) -> bool:
    """Return whether other entries have probably left enough of the free capacity."""
    is_fresh = now_ms - view.timestamp_received_ms < FRESH_CAPACITY_MS
    return is_fresh or view.available.covers(job.step.need.times(AMPLE_CAPACITY_TASKS))


def send_start_order(
    state: BurstEntryState,
    job: ActiveJob,
    view: AgentView,
    tasks: list[ActiveTask],
    now_ms: int,
) -> None:
    """Order an agent to start runs of some tasks.

    The order expires on the agent's clock, some time after this entry's inputs were
    read.
    """
    order = state.next_order
    state.next_order += 1
    step = job.step
    if not view.runs:
        # The order permits its runs for as long as an echo would, but no others.
        view.last_echo_ms = now_ms
    proofs = {
        str(task.index): job.describe_proof(task, now_ms)
        for task in tasks
        if task.attempt
    }
    is_repeat = job.may_be_copy or job.ran_before or any(task.attempt for task in tasks)
    is_reported = is_repeat or step.estimate_ms >= timing.LASTING_RUN_MS
    for task in tasks:
        task.attempt += 1
        task.end_proof = None
        job.attempt = max(job.attempt, task.attempt)
        task.agent = view.name
        task.advance("place")
        view.runs[job.run_ref(task)] = PlacedRun(
            job, task, order, now_ms, is_reported=is_reported
        )
    if is_reported and state.is_remote(view):
        state.run_relay.note_change(now_ms, is_urgent=is_repeat)
    view.reserve(order, step.need.times(len(tasks)))
    view.health.record_sent()
    view.last_order_sent_ms = now_ms
    timestamp_age_ms = now_ms - view.timestamp_received_ms
    expires_ms = state.inputs_ms + view.clock_offset_ms + timing.ORDER_TTL_MS
    message = StartRuns(
        order,
        expires_ms,
        tuple(job.run_ref(task) for task in tasks),
        job.job.spec,
        step.need,
        step.estimate_ms,
        movable=not any(task.stalled for task in tasks),
        is_repeat=is_repeat,
    )
    state.effects.append(Send(view.name, message))
    state.counters["runs_ordered"] += len(tasks)
    fields: dict[str, object] = {
        "job": job.job.job_id,
        # Before the rest, as some platforms cut off lines.
        **({"after": proofs} if proofs else {}),
        "agent": view.name,
        "order": order,
        "tasks": [task.index for task in tasks],
        "attempts": [task.attempt for task in tasks],
        "waited_ms": now_ms - job.arrived_ms,
        # A slowdown: higher is slower.
        "speed": round(state.worker_slowdowns.slowdown(view.name, view.kind()), 2),
        "stamp_age_ms": timestamp_age_ms,
    }
    state.effects.append(LogDecision("runs ordered", fields))
