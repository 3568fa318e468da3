"""Renders the entry's state as JSON for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

if TYPE_CHECKING:
    from sardineferry.decision.entry.state import EntryState

__all__ = ["AgentViewDump", "EntryDump", "JobDump", "PeerDump", "dump_entry"]


class AgentViewDump(TypedDict):
    """One agent; ``factor`` is its target's run time relative to the mean.

    ``others`` is the number of units that other entries use there, by the
    agent's latest report. ``health`` is the state of the circuit breaker.
    """

    incarnation: str
    data_centre: str
    state: str
    linked: bool
    in_flight: int
    others: float
    health: str
    factor: float


class PeerDump(TypedDict):
    """One other entry."""

    incarnation: str
    linked: bool
    leaving: bool


class JobDump(TypedDict):
    """One job without a final state."""

    state: str
    team: str
    tasks: int
    open_tasks: int
    epoch: int


class EntryDump(TypedDict):
    """The parts of the entry's state that operators see; tools read its keys."""

    entry: str
    incarnation: str
    data_centre: str
    leaving: bool
    preset: str
    preset_version: int
    waiting: int
    claims: int
    jobs_kept: int
    running_by_team: dict[str, int]
    members: dict[str, AgentViewDump]
    peers: dict[str, PeerDump]
    jobs: dict[str, JobDump]
    counters: dict[str, int]


def dump_entry(state: EntryState) -> str:
    """Return the state as JSON with sorted keys, so that dumps can be compared."""
    dump = EntryDump(
        entry=state.name,
        incarnation=state.incarnation,
        data_centre=state.data_centre,
        leaving=state.leaving,
        preset=state.preset.name,
        preset_version=state.preset.version,
        waiting=state.queue.waiting,
        claims=len(state.claims.claims),
        jobs_kept=len(state.jobs),
        running_by_team=dict(state.queue.running_by_team),
        members={
            view.name: AgentViewDump(
                incarnation=view.incarnation,
                data_centre=view.data_centre,
                state=view.state,
                linked=view.linked,
                in_flight=len(view.in_flight),
                others=round(view.other_units, 1),
                health=view.health.state,
                factor=round(view.run_time_factor.value, 2),
            )
            for view in state.agents.values()
        },
        peers={
            peer.name: PeerDump(
                incarnation=peer.incarnation,
                linked=bool(peer.link),
                leaving=peer.leaving,
            )
            for peer in state.peers.values()
        },
        jobs={
            job.spec.submission: JobDump(
                state=job.state,
                team=job.spec.team,
                tasks=len(job.tasks),
                open_tasks=job.open_tasks,
                epoch=job.epoch,
            )
            for job in state.live_jobs.values()
        },
        counters=dict(state.counters),
    )
    return msgspec.json.encode(dump, order="sorted").decode()
