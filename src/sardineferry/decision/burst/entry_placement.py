"""Assigns waiting tasks to agents.

Jobs are placed by priority and latest start time, started ones before all others. A job
that does not fit takes the capacity that is free, and the workers that it waits for are
withheld from later jobs, but not from more urgent ones. Otherwise jobs with few tasks
would starve jobs with many.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst import admission
from sardineferry.decision.burst import timing
from sardineferry.decision.burst.cold_workers import expected_slowdown
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_state import AgentView
from sardineferry.decision.burst.entry_state import PlacedRun
from sardineferry.decision.burst.entry_state import job_times
from sardineferry.decision.burst.entry_state import response_time_goal_ms
from sardineferry.decision.burst.link_selection import count_links_per_agent
from sardineferry.decision.burst.overload import WithheldAgents
from sardineferry.decision.burst.overload import service_order
from sardineferry.decision.burst.overload.left_capacity import leave_capacity
from sardineferry.decision.burst.placement import Candidate
from sardineferry.decision.burst.placement import is_capacity_scarce
from sardineferry.decision.burst.placement import place_tasks
from sardineferry.decision.burst.placement import rank_candidates
from sardineferry.decision.burst.run_limits import MAX_RUNS_PER_JOB_AND_PASS
from sardineferry.decision.burst.run_limits import MAX_RUNS_PER_ORDER
from sardineferry.decision.burst.run_limits import MAX_RUNS_PER_PASS
from sardineferry.decision.burst.worker_choice import DEFAULT_REMOTE_FACTOR
from sardineferry.decision.burst.worker_choice import data_factor
from sardineferry.decision.burst.worker_choice import expected_wait_ms
from sardineferry.decision.burst.worker_choice import is_in_rack
from sardineferry.decision.burst.worker_choice import max_slowdown
from sardineferry.decision.burst.worker_choice import max_wait_ms
from sardineferry.decision.burst.worker_choice import slowdowns_with_data
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import WatchRoom

if TYPE_CHECKING:
    from sardineferry.decision.burst.configuration import Route
    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.requests import BurstJob
    from sardineferry.decision.burst.requests import BurstStep

__all__ = [
    "can_receive_orders",
    "can_run_job",
    "max_start_wait_ms",
    "place_waiting_tasks",
]

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
    """Agents that may be sent orders, and their workers' slowdowns by agent name.

    ``limited`` names those whose workers may have only a few tasks.
    """

    views: list[AgentView]
    slowdowns: dict[str, float]
    limited: frozenset[str] = frozenset()


class PlacedTasks(NamedTuple):
    """How many tasks of a job were placed, and whether a limit kept others waiting."""

    runs: int
    reached_limit: bool


NONE_PLACED = PlacedTasks(0, reached_limit=False)


def find_eligible_agents(state: BurstEntryState, now_ms: int) -> EligibleAgents:
    """Return all agents that may be sent orders now."""
    views = [
        view
        for view in state.agents.values()
        if can_receive_orders(state, view, now_ms)
    ]
    limited = find_limited_agents(state, views, now_ms)
    if limited:
        views = [
            view
            for view in views
            if view.name not in limited or view.trust.tasks > len(view.runs)
        ]
    slowdowns = {
        view.name: expected_slowdown(state.worker_slowdowns, view, now_ms)
        for view in views
    }
    return EligibleAgents(views, slowdowns, limited)


def find_limited_agents(
    state: BurstEntryState, views: list[AgentView], now_ms: int
) -> frozenset[str]:
    """Return the agents with distrusted workers; none if no worker is trusted."""
    if not state.once_distrusted:
        return frozenset()
    limited = frozenset(view.name for view in views if view.trust.is_distrusted(now_ms))
    return limited if len(limited) < len(views) else frozenset()


def place_waiting_tasks(state: BurstEntryState, now_ms: int) -> None:
    """Place waiting tasks if some may fit since the last call.

    Jobs with tasks that do not fit stay in the queue. After a start none are placed
    until all agents should have linked, which tell what runs.
    """
    if not state.queue or not state.placement_due or state.is_awaiting_links(now_ms):
        return
    state.placement_due = state.placement_unfinished = False
    allowance = MAX_RUNS_PER_PASS
    min_cpu = min(job.step.need.cpu for job in state.queue)
    eligible = find_eligible_agents(state, now_ms)
    with_capacity = {
        view.name for view in eligible.views if view.available.cpu >= max(1, min_cpu)
    }
    # A job that is limited by the number of runs comes last: an agent starts its tasks
    # one after the other, and those of other jobs would have to wait for them.
    state.queue.sort(
        key=lambda job: (
            job.is_run_limited,
            service_order(job.started, job.priority, job.latest_start_ms),
        )
    )
    withheld_agents = WithheldAgents()
    cpu_ahead = 0
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
        limit = max_slowdown(job.times, now_ms - job.arrived_ms)
        slowdowns = job_slowdowns(state, job, eligible)
        preferred = preferred_agents(
            state,
            job,
            EligibleAgents(views, slowdowns, eligible.limited),
            limit,
            cpu_ahead,
            now_ms,
        )
        with leave_capacity(state, job, preferred.views, now_ms):
            placed = place_job_tasks(
                state, job, preferred, limit, withheld_agents, allowance, now_ms
            )
        allowance -= placed.runs
        if placed.runs:
            job.is_run_limited = placed.reached_limit
        cpu_ahead += job.step.need.cpu * job.counts.waiting
        if placed.reached_limit:
            # There is capacity left, which later jobs may use.
            state.placement_due = state.placement_unfinished = True
        elif job.has_placeable_task():
            withheld_agents.withhold(
                (view.name for view in preferred.views), job.priority
            )
        elif not job.counts.waiting:
            state.queue.remove(job)
        if allowance <= 0:
            state.placement_due = state.placement_unfinished = True
            break
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


def preferred_agents(
    state: BurstEntryState,
    job: ActiveJob,
    eligible: EligibleAgents,
    limit: float,
    cpu_ahead: int,
    now_ms: int,
) -> EligibleAgents:
    """Return the agents where the job should start, now or once they have capacity.

    These are the ones where it is in time, up to the slowdown ``limit``, or all if
    there is none. If they are full, the job waits for them, unless its latest start
    would pass meanwhile and no earlier job waits for capacity. ``cpu_ahead`` is the
    need of those.
    """
    slowdowns, need = eligible.slowdowns, job.step.need
    fast = [view for view in eligible.views if slowdowns[view.name] <= limit]
    if not fast:
        return eligible
    preferred = EligibleAgents(fast, slowdowns, eligible.limited)
    # Comparing the processors first saves most calls on full workers.
    for view in fast:
        if view.available.cpu >= need.cpu and view.available.covers(need):
            return preferred
    slow_with_capacity = [
        view
        for view in eligible.views
        if view.available.cpu >= need.cpu
        and slowdowns[view.name] > limit
        and view.available.covers(need)
    ]
    if not slow_with_capacity:
        return preferred
    # The fast workers will be used in any case if other jobs wait for them, too.
    if not cpu_ahead and not job.started:
        wait_ms = expected_wait_ms(
            need.cpu * job.counts.waiting,
            sum(view.profile.total.cpu for view in fast if view.profile is not None),
            state.run_time.value,
            count_links_per_agent(state.data_centre, state.known_entries),
        )
        if now_ms + wait_ms > job.latest_start_ms:
            # A late answer is better than none.
            state.counters["waits_avoided"] += 1
            return EligibleAgents(slow_with_capacity, slowdowns, eligible.limited)
    state.counters["waits_for_faster_workers"] += 1
    return preferred


def job_slowdowns(
    state: BurstEntryState, job: ActiveJob, eligible: EligibleAgents
) -> dict[str, float]:
    """Return the workers' slowdowns for a job, with what the way to its data costs."""
    rack = job.step.preferred_rack
    if not rack or state.remote_factor == DEFAULT_REMOTE_FACTOR:
        return eligible.slowdowns
    in_rack = [
        view.name
        for view in eligible.views
        if view.profile is not None and is_in_rack(view.profile.labels, rack)
    ]
    return slowdowns_with_data(eligible.slowdowns, in_rack, state.remote_factor)


def max_start_wait_ms(state: BurstEntryState, route: Route, step: BurstStep) -> float:
    """Return how long a job may wait for its start before it is refused."""
    slowdown = state.worker_slowdowns.typical_slowdown()
    goal_ms = response_time_goal_ms(route, step.estimate_ms)
    return admission.max_start_wait_ms(
        goal_ms, max_wait_ms(job_times(route, step), slowdown)
    )


def place_job_tasks(
    state: BurstEntryState,
    job: ActiveJob,
    eligible: EligibleAgents,
    limit: float,
    withheld_agents: WithheldAgents,
    allowance: int,
    now_ms: int,
) -> PlacedTasks:
    """Place as many tasks of a job as fit at agents that are not withheld from it.

    Tasks that avoid the same agents are placed together. At most ``allowance`` runs are
    ordered.
    """
    step = job.step
    with_capacity = [
        view
        for view in eligible.views
        if view.available.cpu >= step.need.cpu
        and view.orderable_runs()
        and not withheld_agents.is_withheld(view.name, job.priority)
        and view.available.covers(step.need)
    ]
    if not with_capacity:
        return NONE_PLACED
    allowance = min(allowance, MAX_RUNS_PER_JOB_AND_PASS)
    scarce = is_capacity_scarce(
        sum(view.available.cpu for view in eligible.views),
        sum(
            view.profile.total.cpu
            for view in eligible.views
            if view.profile is not None
        ),
    )
    groups: dict[frozenset[str], list[ActiveTask]] = {}
    for task in islice(job.placeable_tasks(), allowance):
        groups.setdefault(task.avoided_agents, []).append(task)
    runs = 0
    is_limited = False
    for avoided_agents, tasks in groups.items():
        found = [
            make_candidate(
                state,
                job,
                view,
                eligible,
                limit,
                avoided_agents,
                now_ms,
            )
            for view in with_capacity
        ]
        candidates = rank_candidates(found, scarce, state.random)
        remaining = tasks
        limits = {candidate.agent: candidate.max_tasks for candidate in candidates}
        for name, count in place_tasks(
            len(tasks), step.need, step.spread_limit, candidates
        ):
            chosen, remaining = remaining[:count], remaining[count:]
            send_start_order(state, job, state.agents[name], chosen, now_ms)
            runs += count
            is_limited = is_limited or count == limits[name]
    is_limited = is_limited or runs == allowance
    return PlacedTasks(runs, is_limited and job.has_placeable_task())


def make_candidate(
    state: BurstEntryState,
    job: ActiveJob,
    view: AgentView,
    eligible: EligibleAgents,
    limit: float,
    avoided_agents: frozenset[str],
    now_ms: int,
) -> Candidate:
    """Describe a worker as a candidate for the tasks of a job."""
    need, free = job.step.need, view.available
    slowdown = eligible.slowdowns[view.name]
    if view.health.state == "open":
        # An ejected worker is probed with a single task.
        free = need
    elif view.name in eligible.limited:
        allowed = need.times(max(0, view.trust.tasks - len(view.runs)))
        free = allowed if free.covers(allowed) else free
    return Candidate(
        view.name,
        free,
        slowdown,
        view.data_centre == state.data_centre,
        view.name in avoided_agents,
        slowdown <= limit,
        is_likely_available(view, job, now_ms),
        is_cold=now_ms < view.cold_until_ms,
        max_tasks=min(MAX_RUNS_PER_ORDER, view.orderable_runs()),
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
    labels = view.profile.labels if view.profile is not None else ()
    factor = data_factor(labels, step.preferred_rack, state.remote_factor)
    estimate_ms = round(step.estimate_ms * factor)
    is_reported = is_repeat or estimate_ms >= timing.LASTING_RUN_MS
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
    view.reserve(order, step.need.times(len(tasks)), len(tasks))
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
        estimate_ms,
        movable=not any(task.stalled for task in tasks),
        is_repeat=is_repeat,
    )
    state.effects.append(Send(view.name, message))
    state.counters["runs_ordered"] += len(tasks)
    if factor != 1.0:
        state.counters["runs_ordered_far_from_data"] += len(tasks)
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
        **({"data_factor": factor} if factor != 1.0 else {}),
    }
    state.effects.append(LogDecision("runs ordered", fields))
