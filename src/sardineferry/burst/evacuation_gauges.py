"""Metrics of the list of evacuated data centres that a process holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.gauges import Gauge

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardineferry.decision.burst.evacuation import EvacuationRelay

__all__ = ["evacuation_gauges"]

MS_PER_S = 1_000


def evacuation_gauges(
    relay: EvacuationRelay, now_ms: Callable[[], int]
) -> Callable[[], Iterable[Gauge]]:
    """Return a function that returns the list, its position and its age as gauges."""

    def collect() -> list[Gauge]:
        if relay.current.position < 0:
            return []
        age_s = (now_ms() - relay.adopted_ms) / MS_PER_S
        return [
            Gauge("evacuations_position", relay.current.position),
            Gauge("evacuations_age_seconds", age_s),
            *(
                Gauge("data_centre_evacuated", 1, (("data_centre", name),))
                for name in relay.current.data_centres
            ),
        ]

    return collect
