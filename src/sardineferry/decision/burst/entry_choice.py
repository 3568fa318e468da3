"""Chooses the entries that an agent links to.

Answers hundreds of machines: if each agent linked to each entry, signs of life
and pushes of room would grow with both numbers. An agent links to the entries
of its own data centre and to one of each other. So the entries of a data
centre reach all workers together, each agent has as many links as the others,
and every two entries are a few links apart, which carries configurations.

Rendezvous hashing of names spreads agents evenly, without a word between them:
a place that comes or goes moves the links of few.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

    from sardineferry.messages.burst import EntryPlace

__all__ = ["Ranking", "choose_entries", "link_count", "rank_entries"]

# Links to entries of each other data centre that are there.
LINKS_PER_OTHER_DATA_CENTRE = 1
# Of the agent's own data centre, for those with very many entries.
MAX_LINKS_IN_OWN_DATA_CENTRE = 16

Ranking = dict[str, list[str]]


def rank_entries(agent: str, places: Iterable[EntryPlace]) -> Ranking:
    """Return names of entries by data centre, the agent's preferred first."""
    ranking: Ranking = {}
    for place in places:
        ranking.setdefault(place.data_centre, []).append(place.name)
    for names in ranking.values():
        names.sort(key=lambda name: (-rendezvous_weight(agent, name), name))
    return ranking


def rendezvous_weight(agent: str, entry: str) -> int:
    """Return the weight of a pair, alike at all processes."""
    return xxhash.xxh3_64_intdigest(f"{agent}\n{entry}".encode())


def choose_entries(
    ranking: Ranking, data_centre: str, absent: Container[str]
) -> set[str]:
    """Return the entries to link to.

    Absent ones are still tried, but do not count: others stand in for them.
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


def link_count(data_centre: str, places: Iterable[EntryPlace]) -> int:
    """Return how many entries share an agent of a data centre."""
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
