"""The list of evacuated data centres that a process holds, and its distribution.

A list is a snapshot of the operator's keys at an offset of the store, its position. A
process adopts a list only if its position is higher, whoever sent it, so that lists may
arrive in any order and over any number of processes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.common_effects import Send
from sardineferry.messages.burst import Evacuations

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["EVACUATED", "EvacuationRelay", "EvacuationsRead", "describe_adoption"]

# The reason of a run that is refused or stopped because of an evacuation.
EVACUATED = "evacuated"


class EvacuationsRead(NamedTuple):
    """Event: the list of evacuated data centres was read from the platform's store."""

    evacuations: Evacuations


class EvacuationRelay:
    """The newest list of evacuated data centres that this process knows.

    Nothing is sent before a list with a data centre has been seen, so that processes
    without evacuations exchange no messages about them.
    """

    __slots__ = ("adopted_ms", "current", "has_seen_evacuation")

    def __init__(self) -> None:
        """Create the relay without a list."""
        self.current = Evacuations(-1, ())
        # When the list, at its present position, was adopted.
        self.adopted_ms = 0
        self.has_seen_evacuation = False

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no run may be started in a data centre."""
        return data_centre in self.current.data_centres

    def adopt(self, offered: Evacuations, now_ms: int) -> Evacuations | None:
        """Adopt a list with a higher position; return the one before, or None."""
        if offered.data_centres:
            self.has_seen_evacuation = True
        if offered.position <= self.current.position:
            return None
        previous, self.current = self.current, offered
        self.adopted_ms = now_ms
        return previous

    def announce(self, links: Iterable[str], source: str = "") -> list[Send]:
        """Return messages with the list for links, except the one that it came from."""
        if not self.has_seen_evacuation or self.current.position < 0:
            return []
        return [Send(link, self.current) for link in links if link != source]

    def correct(self, link: str, offered: Evacuations) -> list[Send]:
        """Return the message that replaces an outdated list of another process.

        Whoever sent the newer list may have adopted it before that process linked, or
        may no longer be linked to it.
        """
        is_outdated = offered.position < self.current.position
        if is_outdated and offered.data_centres != self.current.data_centres:
            return self.announce([link])
        return []


def describe_adoption(
    previous: Evacuations, adopted: Evacuations, source: str
) -> LogDecision | None:
    """Return the log line on an adopted list, or None if no data centre changed.

    The position also rises with records of other keys.
    """
    before, after = set(previous.data_centres), set(adopted.data_centres)
    if before == after:
        return None
    fields: dict[str, object] = {
        "position": adopted.position,
        "held": previous.position,
        "data_centres": list(adopted.data_centres),
        "added": sorted(after - before),
        "revoked": sorted(before - after),
        "source": source,
    }
    return LogDecision("evacuation adopted", fields)
