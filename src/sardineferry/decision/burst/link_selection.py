"""Selects the entries that an agent links to.

With hundreds of instances, a link from each agent to each entry would make the
number of heartbeats and capacity updates grow with the product of both. An agent
links to the entries of its own data centre and to one entry of each other data
centre. The entries of each data centre together then reach all workers, all agents
have about the same number of links, and configurations reach every entry over a
few links.

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

# Entries that have had no link for a while (absent ones) don't count towards these
# two bounds.
LINKS_PER_OTHER_DATA_CENTRE = 1
# Bounds the links in a data centre with very many entries.
MAX_LINKS_IN_OWN_DATA_CENTRE = 16

# Entry names by data centre, in an agent's order of preference.
EntryRanking = dict[str, list[str]]


def rank_entries(agent: str, entries: Iterable[EntryEndpoint]) -> EntryRanking:
    """Return each data centre's entry names in the agent's order of preference."""
    ranking: EntryRanking = {}
    for entry in entries:
        ranking.setdefault(entry.data_centre, []).append(entry.name)
    for names in ranking.values():
        names.sort(key=lambda name: (-rendezvous_weight(agent, name), name))
    return ranking


def rendezvous_weight(agent: str, entry: str) -> int:
    """Return an agent's weight for an entry; all processes compute the same one."""
    return xxhash.xxh3_64_intdigest(f"{agent}\n{entry}".encode())


def select_entries(
    ranking: EntryRanking, own_data_centre: str, absent: Container[str]
) -> set[str]:
    """Return the names of the entries that an agent should be linked to.

    An absent entry stays selected, but the next one in the ranking is selected in
    addition.
    """
    chosen: set[str] = set()
    for data_centre, names in ranking.items():
        remaining = (
            MAX_LINKS_IN_OWN_DATA_CENTRE
            if data_centre == own_data_centre
            else LINKS_PER_OTHER_DATA_CENTRE
        )
        for name in names:
            if remaining == 0:
                break
            chosen.add(name)
            remaining -= name not in absent
    return chosen


def count_links_per_agent(
    own_data_centre: str, entries: Iterable[EntryEndpoint]
) -> int:
    """Return how many entries an agent of ``own_data_centre`` links to."""
    counts: dict[str, int] = {}
    for entry in entries:
        counts[entry.data_centre] = counts.get(entry.data_centre, 0) + 1
    return sum(
        min(
            count,
            MAX_LINKS_IN_OWN_DATA_CENTRE
            if data_centre == own_data_centre
            else LINKS_PER_OTHER_DATA_CENTRE,
        )
        for data_centre, count in counts.items()
    )
