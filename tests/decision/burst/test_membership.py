"""Tests of which entries an agent links to, at the users' sizes."""

from __future__ import annotations

from collections import Counter

import pytest

from sardineferry.decision.burst.agent_membership import ABSENT_AFTER_MS
from sardineferry.decision.burst.agent_membership import RETIRE_DELAY_MS
from sardineferry.decision.burst.agent_membership import REVIEW_INTERVAL_MS
from sardineferry.decision.burst.entry_choice import choose_entries
from sardineferry.decision.burst.entry_choice import link_count
from sardineferry.decision.burst.entry_choice import rank_entries
from sardineferry.decision.burst.membership import EntriesRead
from sardineferry.decision.link_effects import Connect
from sardineferry.decision.link_effects import Disconnect
from sardineferry.decision.link_effects import Send
from sardineferry.decision.link_events import AddressesRead
from sardineferry.decision.link_events import LinkDown
from sardineferry.decision.link_events import LinkUp
from sardineferry.messages.burst import EntryPlace
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import StartRuns
from sardineferry.messages.burst import WorkerRoom
from tests.decision.burst.drive import NEED
from tests.decision.burst.drive import AgentDriver
from tests.decision.burst.drive import ref
from tests.decision.burst.drive import sent

# Data centres, entries and agents: first milestone, grown, large.
SIZES = [(3, 3, 11), (4, 4, 11), (3, 13, 72), (5, 11, 65), (5, 35, 160), (6, 60, 300)]


def places(centres: int, entries: int) -> list[EntryPlace]:
    return [
        EntryPlace(f"edge-{n % centres}-{n}", f"10.0.0.{n}:7", f"dc{n % centres}", "i")
        for n in range(entries)
    ]


def links(
    centres: int, entries: int, agents: int, absent: frozenset[str] = frozenset()
) -> dict[str, set[str]]:
    """Return the entries of each agent; agents alternate data centres."""
    known = places(centres, entries)
    return {
        f"side-{n}": choose_entries(
            rank_entries(f"side-{n}", known), f"dc{n % centres}", absent
        )
        for n in range(agents)
    }


@pytest.mark.parametrize(("centres", "entries", "agents"), SIZES)
def test_agents_have_about_as_many_links_each_and_entries_too(
    centres: int, entries: int, agents: int
) -> None:
    chosen = links(centres, entries, agents)
    per_agent = Counter(len(names) for names in chosen.values())
    assert max(per_agent) - min(per_agent) <= 1
    assert max(per_agent) <= -(-entries // centres) + centres - 1
    per_entry = Counter(name for names in chosen.values() for name in names)
    assert len(per_entry) == entries
    here = agents / centres
    assert max(per_entry.values()) <= 2.2 * (here + (agents - here) * centres / entries)


@pytest.mark.parametrize(("centres", "entries", "agents"), SIZES)
def test_entries_of_a_data_centre_reach_all_workers(
    centres: int, entries: int, agents: int
) -> None:
    chosen = links(centres, entries, agents)
    for centre in range(centres):
        here = {place.name for place in places(centres, entries)}
        here = {name for name in here if name.startswith(f"edge-{centre}-")}
        assert all(names & here for names in chosen.values())


@pytest.mark.parametrize(("centres", "entries", "agents"), SIZES)
@pytest.mark.parametrize("lost", [None, 0, 1])
def test_entries_are_connected_through_agents_though_a_data_centre_is_lost(
    centres: int, entries: int, agents: int, lost: int | None
) -> None:
    gone = {
        place.name
        for place in places(centres, entries)
        if lost is not None and place.data_centre == f"dc{lost}"
    }
    chosen = links(centres, entries, agents, frozenset(gone))
    groups = [
        names - gone
        for index, names in enumerate(chosen.values())
        if lost is None or index % centres != lost
    ]
    reached = set(groups[0])
    for _ in range(entries):
        for group in groups:
            if group & reached:
                reached |= group
    assert len(reached) == entries - len(gone)


def test_absent_entry_is_stood_in_for_and_moves_no_other_link() -> None:
    before = links(5, 35, 160)
    lost = "edge-1-6"
    after = links(5, 35, 160, frozenset({lost}))
    for agent, names in before.items():
        added = after[agent] - names
        assert names <= after[agent]
        assert len(added) == (
            1 if lost in names and int(agent.partition("-")[2]) % 5 != 1 else 0
        )


def test_all_absent_entries_are_still_tried() -> None:
    everyone = frozenset(place.name for place in places(3, 13))
    assert all(names == everyone for names in links(3, 13, 5, everyone).values())


@pytest.mark.parametrize(
    ("centres", "entries", "count"), [(3, 3, 3), (4, 4, 4), (5, 35, 11), (3, 13, 7)]
)
def test_sharers_of_an_agent(centres: int, entries: int, count: int) -> None:
    assert link_count("dc0", places(centres, entries)) == count


HERE = EntryPlace("edge-here", "10.0.1.1:7", "dc", "i")
FAR = [EntryPlace(f"edge-far-{n}", f"10.0.2.{n}:7", "far", "i") for n in range(4)]


@pytest.fixture
def agent() -> AgentDriver:
    driver = AgentDriver()
    driver.effects.clear()
    return driver


def addresses(agent: AgentDriver, kind: type[Connect] | type[Disconnect]) -> list[str]:
    return [effect.address for effect in sent(agent.effects, kind)]


def welcome(agent: AgentDriver, place: EntryPlace) -> None:
    agent.handle(LinkUp(place.address))
    message = EntryWelcome(place.name, place.incarnation, place.data_centre, None, ())
    agent.handle(message, place.address)


def preferred(agent: AgentDriver) -> list[EntryPlace]:
    names = rank_entries(agent.state.name, FAR)["far"]
    return [place for name in names for place in FAR if place.name == name]


def test_seeds_are_dialled_until_the_entries_are_known(agent: AgentDriver) -> None:
    agent.state.places.clear()
    agent.state.dialled.clear()
    seeds = (FAR[0].address, FAR[1].address)
    agent.handle(AddressesRead(seeds))
    assert addresses(agent, Connect) == list(seeds)
    agent.handle(EntriesRead((HERE, *FAR)))
    wanted = {HERE.address, preferred(agent)[0].address}
    assert set(addresses(agent, Connect)) - set(seeds) == wanted - set(seeds)
    assert set(addresses(agent, Disconnect)) == set(seeds) - wanted


def test_entry_in_vain_is_stood_in_for_and_let_go_when_it_is_back(
    agent: AgentDriver,
) -> None:
    first, second, *_ = preferred(agent)
    agent.handle(EntriesRead((HERE, *FAR)))
    welcome(agent, HERE)
    agent.tick(ABSENT_AFTER_MS // 2)
    assert second.address not in addresses(agent, Connect)
    agent.tick(ABSENT_AFTER_MS)
    assert second.address in addresses(agent, Connect)
    welcome(agent, second)
    welcome(agent, first)
    agent.effects.clear()
    agent.tick(REVIEW_INTERVAL_MS)
    # Entries are told not to order there before the link ends.
    told = [
        effect.message.accepting
        for effect in agent.effects
        if isinstance(effect, Send)
        and effect.to == second.address
        and isinstance(effect.message, WorkerRoom)
    ]
    assert told[-1] is False
    assert addresses(agent, Disconnect) == []
    agent.tick(RETIRE_DELAY_MS)
    agent.tick(REVIEW_INTERVAL_MS)
    assert addresses(agent, Disconnect) == [second.address]


def test_link_is_not_ended_while_its_entry_has_runs(agent: AgentDriver) -> None:
    second = preferred(agent)[1]
    agent.handle(EntriesRead((HERE, *FAR)))
    welcome(agent, second)
    agent.tick(REVIEW_INTERVAL_MS)
    agent.tick(RETIRE_DELAY_MS - REVIEW_INTERVAL_MS // 2)
    run = ref()
    order = StartRuns(1, agent.now_ms + 400, (run,), "spec", NEED, 100, True)
    agent.handle(order, second.address)
    agent.tick(REVIEW_INTERVAL_MS)
    assert run in agent.state.runs
    assert addresses(agent, Disconnect) == []


def test_restarted_entry_is_dialled_at_once(agent: AgentDriver) -> None:
    agent.handle(EntriesRead((HERE,)))
    agent.handle(LinkDown(HERE.address))
    agent.effects.clear()
    agent.handle(EntriesRead((HERE,)))
    assert addresses(agent, Connect) == []
    agent.handle(EntriesRead((HERE._replace(incarnation="j"),)))
    assert addresses(agent, Connect) == [HERE.address]


def test_linked_entry_that_the_store_does_not_list_is_kept(agent: AgentDriver) -> None:
    welcome(agent, HERE)
    agent.handle(EntriesRead(tuple(FAR)))
    assert HERE.name in agent.state.places
    agent.handle(LinkDown(HERE.address))
    agent.handle(EntriesRead(tuple(FAR)))
    assert HERE.name not in agent.state.places


def test_empty_list_of_the_store_ends_no_link(agent: AgentDriver) -> None:
    agent.handle(EntriesRead((HERE,)))
    welcome(agent, HERE)
    agent.handle(EntriesRead(()))
    agent.tick(10 * RETIRE_DELAY_MS)
    assert addresses(agent, Disconnect) == []
