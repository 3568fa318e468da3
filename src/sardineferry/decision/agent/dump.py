"""Renders the agent's state as JSON for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

if TYPE_CHECKING:
    from sardineferry.decision.agent.state import AgentState

__all__ = ["AgentDump", "LinkDump", "dump_agent"]


class LinkDump(TypedDict):
    """A linked entry; ``lease_until_ms`` is a time of the agent's clock."""

    lease_until_ms: int


class AgentDump(TypedDict):
    """The parts of the agent's state that operators see; tools read its keys."""

    agent: str
    incarnation: str
    data_centre: str
    kind: str
    units: int
    in_use: int
    queued: int
    leaving: bool
    preset: str
    preset_version: int
    start_table_rows: int
    running: list[str]
    links: dict[str, LinkDump]
    counters: dict[str, int]


def dump_agent(state: AgentState) -> str:
    """Return the state as JSON with sorted keys, so that dumps can be compared."""
    dump = AgentDump(
        agent=state.name,
        incarnation=state.incarnation,
        data_centre=state.data_centre,
        kind=state.shape.kind,
        units=state.units,
        in_use=state.units_in_use,
        queued=state.queued_units,
        leaving=state.leaving,
        preset=state.preset.name,
        preset_version=state.preset.version,
        start_table_rows=state.table.row_count,
        running=sorted("/".join(key) for key in state.running),
        links={
            name: LinkDump(
                lease_until_ms=link.lease_until_ms,
            )
            for name, link in sorted(state.links.items())
        },
        counters=dict(sorted(state.counters.items())),
    )
    return msgspec.json.encode(dump, order="sorted").decode()
