"""Tests of which entries an agent links to, at the sizes of users' deployments."""

from __future__ import annotations

from collections import Counter

import pytest

from sardineferry.decision.burst.agent_membership import ABSENT_AFTER_MS
from sardineferry.decision.burst.agent_membership import RETIRE_DELAY_MS
from sardineferry.decision.burst.agent_membership import REVIEW_INTERVAL_MS
from sardineferry.decision.burst.link_selection import count_links_per_agent
from sardineferry.decision.burst.link_selection import rank_entries
from sardineferry.decision.burst.link_selection import select_entries
from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.common_effects import Connect
from sardineferry.decision.common_effects import Disconnect
from sardineferry.decision.common_effects import Send
from sardineferry.decision.common_events import AddressesRead
from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import WorkerRoom
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import sent

# Numbers of data centres, entries and agents, from the first milestone's
# deployment to large ones.
SIZES = [(3, 3, 11), (4, 4, 11), (3, 13, 72), (5, 11, 65), (5, 35, 160), (6, 60, 300)]


def make_endpoints(centres: int, entries: int) -> list[EntryEndpoint]:
    return [
        EntryEndpoint(
            f"edge-{n % centres}-{n}", f"10.0.0.{n}:7", f"dc{n % centres}", "i"
        )
        for n in range(entries)
    ]


def chosen_by_agent(
    centres: int, entries: int, agents: int, absent: frozenset[str] = frozenset()
) -> dict[str, set[str]]:
    """Return each agent's chosen entries; agents alternate between data centres."""
    known = make_endpoints(centres, entries)
    return {
        f"side-{n}": select_entries(
            rank_entries(f"side-{n}", known), f"dc{n % centres}", absent
        )
        for n in range(agents)
    }


@pytest.mark.parametrize(("centres", "entries", "agents"), SIZES)
def test_links_are_spread_evenly_over_agents_and_entries(
    centres: int, entries: int, agents: int
) -> None:
    chosen = chosen_by_agent(centres, entries, agents)
    per_agent = Counter(len(names) for names in chosen.values())
    assert max(per_agent) - min(per_agent) <= 1
    assert max(per_agent) <= -(-entries // centres) + centres - 1
    per_entry = Counter(name for names in chosen.values() for name in names)
    assert len(per_entry) == entries
    local_agents = agents / centres
    assert max(per_entry.values()) <= 2.2 * (
        local_agents + (agents - local_agents) * centres / entries
    )


@pytest.mark.parametrize(("centres", "entries", "agents"), SIZES)
def test_entries_of_a_data_centre_reach_all_workers(
    centres: int, entries: int, agents: int
) -> None:
    chosen = chosen_by_agent(centres, entries, agents)
    for centre in range(centres):
        local_names = {endpoint.name for endpoint in make_endpoints(centres, entries)}
        local_names = {
            name for name in local_names if name.startswith(f"edge-{centre}-")
        }
        assert all(names & local_names for names in chosen.values())


@pytest.mark.parametrize(("centres", "entries", "agents"), SIZES)
@pytest.mark.parametrize("lost", [None, 0, 1])
def test_entries_stay_connected_through_agents_without_a_data_centre(
    centres: int, entries: int, agents: int, lost: int | None
) -> None:
    lost_names = {
        endpoint.name
        for endpoint in make_endpoints(centres, entries)
        if lost is not None and endpoint.data_centre == f"dc{lost}"
    }
    chosen = chosen_by_agent(centres, entries, agents, frozenset(lost_names))
    groups = [
        names - lost_names
        for index, names in enumerate(chosen.values())
        if lost is None or index % centres != lost
    ]
    reached = set(groups[0])
    for _ in range(entries):
        for group in groups:
            if group & reached:
                reached |= group
    assert len(reached) == entries - len(lost_names)


def test_absent_entry_is_replaced_without_moving_other_links() -> None:
    before = chosen_by_agent(5, 35, 160)
    lost = "edge-1-6"
    after = chosen_by_agent(5, 35, 160, frozenset({lost}))
    for agent, names in before.items():
        added = after[agent] - names
        assert names <= after[agent]
        assert len(added) == (
            1 if lost in names and int(agent.partition("-")[2]) % 5 != 1 else 0
        )


def test_all_absent_entries_are_still_tried() -> None:
    everyone = frozenset(endpoint.name for endpoint in make_endpoints(3, 13))
    assert all(
        names == everyone for names in chosen_by_agent(3, 13, 5, everyone).values()
    )


@pytest.mark.parametrize(
    ("centres", "entries", "count"), [(3, 3, 3), (4, 4, 4), (5, 35, 11), (3, 13, 7)]
)
def test_link_count_of_an_agent(centres: int, entries: int, count: int) -> None:
    assert count_links_per_agent("dc0", make_endpoints(centres, entries)) == count


LOCAL = EntryEndpoint("edge-here", "10.0.1.1:7", "dc", "i")
REMOTE = [EntryEndpoint(f"edge-far-{n}", f"10.0.2.{n}:7", "far", "i") for n in range(4)]


@pytest.fixture
def agent() -> AgentDriver:
    driver = AgentDriver()
    driver.effects.clear()
    return driver


def dialled_or_dropped(
    agent: AgentDriver, kind: type[Connect] | type[Disconnect]
) -> list[str]:
    return [effect.address for effect in sent(agent.effects, kind)]


def welcome(agent: AgentDriver, endpoint: EntryEndpoint) -> None:
    agent.handle(LinkUp(endpoint.address))
    message = EntryWelcome(
        endpoint.name, endpoint.incarnation, endpoint.data_centre, None, ()
    )
    agent.handle(message, endpoint.address)


def remote_by_preference(agent: AgentDriver) -> list[EntryEndpoint]:
    names = rank_entries(agent.state.name, REMOTE)["far"]
    return [endpoint for name in names for endpoint in REMOTE if endpoint.name == name]


def test_seed_addresses_are_dialled_until_the_entries_are_known(
    agent: AgentDriver,
) -> None:
    agent.state.known_entries.clear()
    agent.state.dialled.clear()
    seeds = (REMOTE[0].address, REMOTE[1].address)
    agent.handle(AddressesRead(seeds))
    assert dialled_or_dropped(agent, Connect) == list(seeds)
    agent.handle(EntriesRead((LOCAL, *REMOTE)))
    wanted = {LOCAL.address, remote_by_preference(agent)[0].address}
    assert set(dialled_or_dropped(agent, Connect)) - set(seeds) == wanted - set(seeds)
    assert set(dialled_or_dropped(agent, Disconnect)) == set(seeds) - wanted


def test_replacement_of_an_absent_entry_is_dropped_once_the_entry_is_back(
    agent: AgentDriver,
) -> None:
    first, second, *_ = remote_by_preference(agent)
    agent.handle(EntriesRead((LOCAL, *REMOTE)))
    welcome(agent, LOCAL)
    agent.tick(ABSENT_AFTER_MS // 2)
    assert second.address not in dialled_or_dropped(agent, Connect)
    agent.tick(ABSENT_AFTER_MS)
    assert second.address in dialled_or_dropped(agent, Connect)
    welcome(agent, second)
    welcome(agent, first)
    agent.effects.clear()
    agent.tick(REVIEW_INTERVAL_MS)
    # Before its link is closed, the entry is asked to order no runs.
    accepting = [
        effect.message.accepting
        for effect in agent.effects
        if isinstance(effect, Send)
        and effect.to == second.address
        and isinstance(effect.message, WorkerRoom)
    ]
    assert accepting[-1] is False
    assert dialled_or_dropped(agent, Disconnect) == []
    agent.tick(RETIRE_DELAY_MS)
    agent.tick(REVIEW_INTERVAL_MS)
    assert dialled_or_dropped(agent, Disconnect) == [second.address]


def test_link_is_not_closed_while_its_entry_has_runs(agent: AgentDriver) -> None:
    second = remote_by_preference(agent)[1]
    agent.handle(EntriesRead((LOCAL, *REMOTE)))
    welcome(agent, second)
    agent.tick(REVIEW_INTERVAL_MS)
    agent.tick(RETIRE_DELAY_MS - REVIEW_INTERVAL_MS // 2)
    run = ref()
    order = StartRuns(1, agent.now_ms + 400, (run,), "spec", NEED, 100, True)
    agent.handle(order, second.address)
    agent.tick(REVIEW_INTERVAL_MS)
    assert run in agent.state.runs
    assert dialled_or_dropped(agent, Disconnect) == []


def test_restarted_entry_is_dialled_at_once(agent: AgentDriver) -> None:
    agent.handle(EntriesRead((LOCAL,)))
    agent.handle(LinkDown(LOCAL.address))
    agent.effects.clear()
    agent.handle(EntriesRead((LOCAL,)))
    assert dialled_or_dropped(agent, Connect) == []
    agent.handle(EntriesRead((LOCAL._replace(incarnation="j"),)))
    assert dialled_or_dropped(agent, Connect) == [LOCAL.address]


def test_linked_entry_that_the_store_does_not_list_is_kept(agent: AgentDriver) -> None:
    welcome(agent, LOCAL)
    agent.handle(EntriesRead(tuple(REMOTE)))
    assert LOCAL.name in agent.state.known_entries
    agent.handle(LinkDown(LOCAL.address))
    agent.handle(EntriesRead(tuple(REMOTE)))
    assert LOCAL.name not in agent.state.known_entries


def test_empty_entry_list_from_the_store_closes_no_link(agent: AgentDriver) -> None:
    agent.handle(EntriesRead((LOCAL,)))
    welcome(agent, LOCAL)
    agent.handle(EntriesRead(()))
    agent.tick(10 * RETIRE_DELAY_MS)
    assert dialled_or_dropped(agent, Disconnect) == []
