"""Selects the entries that an agent links to.

With hundreds of instances, a link from each agent to each entry would make the
number of heartbeats and capacity updates grow with the product of both. An agent
links to the entries of its own data centre and to one entry of each other data
centre. So the entries of each data centre together reach all workers, agents have
equal numbers of links, and any two entries are connected over a few links, which
pass configurations on.

Rendezvous hashing of names spreads agents evenly over entries without
coordination; an entry that is added or removed changes the links of few agents.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from sardineferry.messages.burst import EntryEndpoint

__all__ = ["EntryRanking", "count_links_per_agent", "rank_entries", "select_entries"]

# Neither bound counts absent entries.
LINKS_PER_OTHER_DATA_CENTRE = 1
# Bounds the links in a data centre with very many entries.
MAX_LINKS_IN_OWN_DATA_CENTRE = 16

EntryRanking = dict[str, list[str]]


def rank_entries(agent: str, places: Iterable[EntryEndpoint]) -> EntryRanking:
    """Return the entry names of each data centre, in the agent's preference."""
    ranking: EntryRanking = {}
    for place in places:
        ranking.setdefault(place.data_centre, []).append(place.name)
    for names in ranking.values():
        names.sort(key=lambda name: (-rendezvous_weight(agent, name), name))
    return ranking


def rendezvous_weight(agent: str, entry: str) -> int:
    """Return the weight of an agent and an entry, the same in all processes."""
    return xxhash.xxh3_64_intdigest(f"{agent}\n{entry}".encode())


def select_entries(
    ranking: EntryRanking, data_centre: str, absent: Container[str]
) -> set[str]:
    """Return the names of the entries to link to.

    Absent entries are still tried but don't count: the next ones replace them.
    """
    chosen: set[str] = set()
    for place, names in ranking.items():
        remaining = (
            MAX_LINKS_IN_OWN_DATA_CENTRE
            if place == data_centre
            else LINKS_PER_OTHER_DATA_CENTRE
        )
        for name in names:
            if remaining == 0:
                break
            chosen.add(name)
            remaining -= name not in absent
    return chosen


def count_links_per_agent(data_centre: str, places: Iterable[EntryEndpoint]) -> int:
    """Return how many entries an agent of a data centre links to."""
    counts: dict[str, int] = {}
    for place in places:
        counts[place.data_centre] = counts.get(place.data_centre, 0) + 1
    return sum(
        min(
            count,
            MAX_LINKS_IN_OWN_DATA_CENTRE
            if place == data_centre
            else LINKS_PER_OTHER_DATA_CENTRE,
        )
        for place, count in counts.items()
    )
