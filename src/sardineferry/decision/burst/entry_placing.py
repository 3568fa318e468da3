"""The entry's rules on placing: which waiting task goes to which agent.

Jobs are served by the time at which they have to start. The first job that
does not fit takes what room there is and holds back the jobs behind it, so
that a wide job is not starved by narrow ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_state import PlacedRun
from sardineferry.decision.burst.placement import Candidate
from sardineferry.decision.burst.placement import place_tasks
from sardineferry.decision.burst.placement import rank
from sardineferry.decision.effects import Send
from sardineferry.messages.burst import StartRuns

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import AgentView
    from sardineferry.decision.burst.entry_state import BurstEntryState

__all__ = ["place_waiting", "usable"]


def usable(view: AgentView, now_ms: int) -> bool:
    """Tell whether orders may be sent to an agent."""
    bound_ms = timing.SILENCE_MS if view.runs else timing.IDLE_SILENCE_MS
    return (
        view.linked
        and view.accepting
        and view.profile is not None
        and now_ms - view.heard_ms <= bound_ms
        and view.health.allows(now_ms)
    )


def place_waiting(state: BurstEntryState, now_ms: int) -> None:
    """Place waiting tasks, first those of the jobs that must start first."""
    if not state.queue:
        return
    state.queue.sort(key=lambda job: (not job.started, job.give_up_ms))
    blocked: set[tuple[str, str]] = set()
    for job in list(state.queue):
        group = (job.route.service, job.step.required_label)
        if group in blocked:
            continue
        place_job(state, job, now_ms)
        if job.waiting():
            blocked.add(group)
        else:
            state.queue.remove(job)


def place_job(state: BurstEntryState, job: ActiveJob, now_ms: int) -> None:
    """Place as many tasks of a job as fit; repeats avoid where they failed."""
    groups: dict[frozenset[str], list[ActiveTask]] = {}
    for task in job.waiting():
        groups.setdefault(frozenset(task.tried), []).append(task)
    for tried, tasks in groups.items():
        place_group(state, job, tasks, tried, now_ms)


def place_group(
    state: BurstEntryState,
    job: ActiveJob,
    tasks: list[ActiveTask],
    tried: frozenset[str],
    now_ms: int,
) -> None:
    """Place tasks that have been tried at the same agents."""
    candidates = candidates_for(state, job, tried, now_ms)
    step = job.step
    left = list(tasks)
    for name, count in place_tasks(len(left), step.need, step.spread_limit, candidates):
        chosen, left = left[:count], left[count:]
        send_order(state, job, state.agents[name], chosen, now_ms)


def candidates_for(
    state: BurstEntryState, job: ActiveJob, tried: frozenset[str], now_ms: int
) -> list[Candidate]:
    """Return the agents that may run a job's tasks, best first."""
    step = job.step
    found = []
    for view in state.agents.values():
        if not usable(view, now_ms) or view.profile is None:
            continue
        profile = view.profile
        if profile.service != job.route.service:
            continue
        if step.required_label and step.required_label not in profile.labels:
            continue
        room = view.room()
        if view.health.state == "open" and room.holds(step.need):
            # A probe of a worker that was ejected risks one task.
            room = step.need
        if not room.holds(step.need):
            continue
        found.append(
            Candidate(
                view.name,
                room,
                state.speeds.factor(view.name, view.kind()),
                view.data_centre == state.data_centre,
                view.name in tried,
            )
        )
    return rank(found, state.random)


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
        task.placed_ms = now_ms
        task.advance("place")
        view.runs[job.ref(task)] = PlacedRun(job, task, order)
    view.reserved[order] = step.need.times(len(tasks))
    view.health.note_sent()
    stamp_age_ms = now_ms - view.stamp_heard_ms
    expires_ms = view.stamp_ms + stamp_age_ms + timing.ORDER_TTL_MS
    message = StartRuns(
        order,
        expires_ms,
        tuple(job.ref(task) for task in tasks),
        job.job.spec,
        step.need,
        step.estimate_ms,
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
