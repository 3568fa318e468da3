"""The entry's part of the shared backlog: states its own, learns that of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst.overload.backlog import WaitingWork
from sardineferry.decision.burst.overload.backlog import find_shared_agents
from sardineferry.decision.gauges import Gauge

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import AgentView
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.messages.burst import PriorityWork
    from sardineferry.messages.burst import WorkerRoom

__all__ = ["learn_backlogs", "read_backlog_gauges", "state_waiting_work"]


def state_waiting_work(state: BurstEntryState, now_ms: int) -> tuple[PriorityWork, ...]:
    """Return the waiting work by priority, for an echo.

    Only services whose routes have different priorities count.
    """
    if not state.queue or not state.route_table.prioritised_services:
        return state.own_statement.clear()
    jobs = (
        WaitingWork(job.route.priority, job.waiting_work())
        for job in state.queue
        if job.route.service in state.route_table.prioritised_services
    )
    return state.own_statement.refresh(jobs, now_ms)


def learn_backlogs(state: BurstEntryState, view: AgentView, event: WorkerRoom) -> None:
    """Record what waits at other entries, by a capacity update.

    The agent's clock gives the time of each statement, so that a delay of the update
    adds to its age.
    """
    refresh_shared_agents(state)
    sent_ms = event.sent_at_ms - view.clock_offset_ms
    state.known_backlog.add(sent_ms, event.backlogs)
    state.counters["backlogs_learned"] += len(event.backlogs)


def refresh_shared_agents(state: BurstEntryState) -> None:
    """Find out anew which agents are shared, if entries or agents have changed."""
    basis = (state.known_entries, tuple(state.agents))
    if basis != state.shared_agents_basis:
        state.shared_agents_basis = basis
        agents = {view.name: view.data_centre for view in state.agents.values()}
        state.known_backlog.agent_count = len(agents)
        state.known_backlog.shared_agents = find_shared_agents(
            state.known_entries, agents
        )


def read_backlog_gauges(state: BurstEntryState, now_ms: int) -> tuple[Gauge, ...]:
    """Return what is known of other entries' waiting work, for the metrics page."""
    work = state.known_backlog.work_by_priority(now_ms)
    age_ms = state.known_backlog.age_ms(now_ms)
    return (
        Gauge(
            "others_waiting_work",
            "work that waits at other entries, in thousandths of a core times ms",
            "priority",
            {str(priority): amount for priority, amount in work.items()},
        ),
        Gauge(
            "known_backlog_age_ms",
            "age of the oldest valid statement of waiting work",
            "",
            {} if age_ms is None else {"": age_ms},
        ),
    )
