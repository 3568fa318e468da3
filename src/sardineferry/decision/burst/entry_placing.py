"""The entry's rules on placing: which waiting task goes to which agent.

Jobs are served by the time at which they have to start. A job that does not
fit takes what room there is and keeps the jobs behind it from the workers that
it waits for, so that wide jobs are not starved by narrow ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_state import AgentView
from sardineferry.decision.burst.entry_state import PlacedRun
from sardineferry.decision.burst.placement import Candidate
from sardineferry.decision.burst.placement import is_tight
from sardineferry.decision.burst.placement import place_tasks
from sardineferry.decision.burst.placement import rank
from sardineferry.decision.link_effects import Send
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import WatchRoom

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["place_waiting", "usable"]

# Room that was heard of so long ago is taken as it is: about four pushes to an
# entry with work on a worker that many use.
NEW_ROOM_MS = 40
# Room for so many tasks is seldom gone when an order arrives.
AMPLE_TASKS = 3


def usable(view: AgentView, now_ms: int) -> bool:
    """Tell whether orders may be sent to an agent."""
    bound_ms = timing.SILENCE_LIMIT_MS if view.runs else timing.IDLE_SILENCE_LIMIT_MS
    return (
        view.linked
        and view.accepting
        and view.profile is not None
        and now_ms - view.heard_ms <= bound_ms
        and view.health.allows(now_ms)
    )


class Fleet(NamedTuple):
    """The agents that may take orders now, with the speeds of their workers."""

    views: list[AgentView]
    speeds: dict[str, float]


def survey(state: BurstEntryState, now_ms: int) -> Fleet:
    """Return the agents that may take orders."""
    views = [view for view in state.agents.values() if usable(view, now_ms)]
    speeds = {view.name: state.speeds.factor(view.name, view.kind()) for view in views}
    return Fleet(views, speeds)


def place_waiting(state: BurstEntryState, now_ms: int) -> None:
    """Place waiting tasks, first those of the jobs that must start first."""
    if not state.queue or not state.placing_due:
        return
    state.placing_due = False
    least = min(job.step.need.cpu for job in state.queue)
    fleet = survey(state, now_ms)
    roomy = {view.name for view in fleet.views if view.room.cpu >= max(1, least)}
    state.queue.sort(key=lambda job: (not job.started, job.give_up_ms))
    reserved: set[str] = set()
    for job in list(state.queue):
        if roomy <= reserved:
            break
        views = [view for view in fleet.views if fits_job(view, job)]
        wanted = wanted_by(job, Fleet(views, fleet.speeds), now_ms)
        place_job(state, job, wanted, reserved, now_ms)
        if job.waiting():
            reserved.update(view.name for view in wanted.views)
        else:
            state.queue.remove(job)
    if state.queue:
        watch_room(state, fleet.views, now_ms)


def watch_room(state: BurstEntryState, views: list[AgentView], now_ms: int) -> None:
    """Ask agents to push each change of room while jobs wait."""
    for view in views:
        if now_ms >= view.watched_until_ms:
            view.watched_until_ms = now_ms + timing.ROOM_WATCH_RENEWAL_MS
            state.effects.append(Send(view.name, WatchRoom()))


def fits_job(view: AgentView, job: ActiveJob) -> bool:
    """Tell whether a worker is of the job's service and has its label."""
    label = job.step.required_label
    return (
        view.profile is not None
        and view.profile.service == job.route.service
        and (not label or label in view.profile.labels)
    )


def ends_in_time(job: ActiveJob, speed: float, now_ms: int) -> bool:
    """Tell whether a task that starts now is expected to keep the goal."""
    return now_ms + job.work_ms * speed <= job.arrived_ms + job.goal_ms


def wanted_by(job: ActiveJob, fleet: Fleet, now_ms: int) -> Fleet:
    """Return the workers that a job may start on.

    One that has not begun does not start where it would be late, unless it is
    late everywhere.
    """
    in_time = [
        view
        for view in fleet.views
        if ends_in_time(job, fleet.speeds[view.name], now_ms)
    ]
    return Fleet(in_time or fleet.views, fleet.speeds)


def place_job(
    state: BurstEntryState,
    job: ActiveJob,
    fleet: Fleet,
    reserved: set[str],
    now_ms: int,
) -> None:
    """Place as many tasks of a job as fit; repeats avoid where they failed."""
    tight = is_tight(
        sum(view.room.cpu for view in fleet.views),
        sum(view.profile.total.cpu for view in fleet.views if view.profile is not None),
    )
    groups: dict[frozenset[str], list[ActiveTask]] = {}
    for task in job.waiting():
        groups.setdefault(frozenset(task.tried), []).append(task)
    step = job.step
    for tried, tasks in groups.items():
        found = [
            candidate_of(state, job, view, fleet.speeds[view.name], tried, now_ms)
            for view in fleet.views
            if view.name not in reserved and view.room.holds(step.need)
        ]
        candidates = rank(found, tight, state.random)
        left = tasks
        for name, count in place_tasks(
            len(tasks), step.need, step.spread_limit, candidates
        ):
            chosen, left = left[:count], left[count:]
            send_order(state, job, state.agents[name], chosen, now_ms)


def candidate_of(
    state: BurstEntryState,
    job: ActiveJob,
    view: AgentView,
    speed: float,
    tried: frozenset[str],
    now_ms: int,
) -> Candidate:
    """Describe a worker for a job."""
    # A probe of a worker that was ejected risks one task.
    probe = view.health.state == "open"
    return Candidate(
        view.name,
        job.step.need if probe else view.room,
        speed,
        view.data_centre == state.data_centre,
        view.name in tried,
        ends_in_time(job, speed, now_ms),
        is_sure(view, job, now_ms),
    )


def is_sure(view: AgentView, job: ActiveJob, now_ms: int) -> bool:
    """Tell whether room is probably still there."""
    is_new = now_ms - view.stamp_heard_ms < NEW_ROOM_MS
    return is_new or view.room.holds(job.step.need.times(AMPLE_TASKS))


def send_order(
    state: BurstEntryState,
    job: ActiveJob,
    view: AgentView,
    tasks: list[ActiveTask],
    now_ms: int,
) -> None:
    """Order runs of an agent; the order is void once its stamp is old."""
    order = state.next_order
    state.next_order += 1
    step = job.step
    for task in tasks:
        task.attempt += 1
        job.attempt = max(job.attempt, task.attempt)
        task.agent = view.name
        task.advance("place")
        view.runs[job.ref(task)] = PlacedRun(job, task, order)
    view.reserve(order, step.need.times(len(tasks)))
    view.health.note_sent()
    view.echoed_ms = now_ms
    stamp_age_ms = now_ms - view.stamp_heard_ms
    expires_ms = view.stamp_ms + stamp_age_ms + timing.ORDER_TTL_MS
    message = StartRuns(
        order,
        expires_ms,
        tuple(job.ref(task) for task in tasks),
        job.job.spec,
        step.need,
        int(job.work_ms),
        movable=not any(task.stalled for task in tasks),
    )
    state.effects.append(Send(view.name, message))
    state.counters["runs_ordered"] += len(tasks)
    fields: dict[str, object] = {
        "job": job.job.job_id,
        "agent": view.name,
        "order": order,
        "tasks": [task.index for task in tasks],
        "attempts": [task.attempt for task in tasks],
        "waited_ms": now_ms - job.arrived_ms,
        "speed": round(state.speeds.factor(view.name, view.kind()), 2),
        "stamp_age_ms": stamp_age_ms,
    }
    state.effects.append(LogDecision("runs ordered", fields))
