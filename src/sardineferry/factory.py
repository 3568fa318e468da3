"""Builds entry and agent processes, with all their parts, from settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sardineferry.agent import AgentProcess
from sardineferry.decision.agent import AgentCore
from sardineferry.decision.agent import AgentPolicy
from sardineferry.decision.agent import AgentState
from sardineferry.decision.entry import EntryCore
from sardineferry.decision.entry import EntryPolicy
from sardineferry.decision.entry import EntryState
from sardineferry.entry import EntryProcess
from sardineferry.entry import entry_client_budget
from sardineferry.incarnation import new_incarnation
from sardineferry.logs import configure_logs
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.transport import LinkRegistry

if TYPE_CHECKING:
    from sardineferry.settings import AgentSettings
    from sardineferry.settings import EntrySettings

__all__ = ["build_agent", "build_entry"]


def build_entry(settings: EntrySettings) -> EntryProcess:
    """Build an entry and bind its addresses, without starting it."""
    configure_logs(settings.log_level, settings.log_json)
    policy = EntryPolicy(
        team_quotas=settings.teams,
        queue_limit=settings.queue_limit,
        claim_interval_ms=settings.claim_interval_ms,
        full_ms=settings.full_ms,
        load_half_life_ms=settings.load_half_life_ms,
        republish_ms=settings.republish_ms,
        job_bytes_limit=entry_client_budget(settings).job_bytes,
    )
    random_source = random.Random()
    state = EntryState(
        settings.name,
        new_incarnation(),
        settings.listen,
        settings.data_centre,
        policy,
        random_source,
    )
    return EntryProcess(
        settings, EntryCore(state), IoLoop(), Mailbox(), LinkRegistry(), random_source
    )


def build_agent(settings: AgentSettings) -> AgentProcess:
    """Build an agent without starting it."""
    configure_logs(settings.log_level, settings.log_json)
    policy = AgentPolicy(
        queue_units=settings.queue_units,
        table_limit=settings.table_limit,
    )
    state = AgentState(
        settings.name,
        new_incarnation(),
        settings.data_centre,
        settings.shape,
        policy,
    )
    state.known_addresses.update(settings.entries)
    return AgentProcess(
        settings,
        AgentCore(state),
        IoLoop(),
        Mailbox(),
        LinkRegistry(),
        random.Random(),
    )
