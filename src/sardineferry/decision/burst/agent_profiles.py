"""Sends entries the profile of an agent's worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import WorkerProfile

if TYPE_CHECKING:
    from sardineferry.decision.burst.agent_state import BurstAgentState
    from sardineferry.decision.burst.agent_state import EntryView

__all__ = ["send_profile", "send_profiles"]


def send_profile(state: BurstAgentState, view: EntryView, now_ms: int) -> None:
    """Send an entry the worker's profile, if it is known."""
    if state.total is not None:
        worker = state.worker
        profile = WorkerProfile(
            state.service,
            state.total,
            state.labels,
            worker.report.born_ms if worker is not None else 0,
            worker is not None and worker.report.draining,
            max(0, state.cold_until_ms - now_ms),
        )
        state.effects.append(Send(view.link, profile))


def send_profiles(state: BurstAgentState, now_ms: int) -> None:
    """Send the worker's profile to all linked entries."""
    state.capacity_changed = True
    for view in state.entry_views.values():
        if view.linked:
            send_profile(state, view, now_ms)
