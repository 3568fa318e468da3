"""Metrics of the list of evacuated data centres that a process holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.gauges import Gauge

if TYPE_CHECKING:
    from sardineferry.decision.burst.evacuation import EvacuationRelay

__all__ = ["evacuation_gauges"]

MS_PER_S = 1_000


def evacuation_gauges(relay: EvacuationRelay, now_ms: int) -> tuple[Gauge, ...]:
    """Return the list, its position and its age; nothing before a first list."""
    if relay.current.position < 0:
        return ()
    return (
        Gauge(
            "evacuations_position",
            "offset at which the list of evacuated data centres was read",
            "",
            {"": relay.current.position},
        ),
        Gauge(
            "evacuations_age_seconds",
            "time since the list of evacuated data centres was adopted",
            "",
            {"": (now_ms - relay.adopted_ms) / MS_PER_S},
        ),
        Gauge(
            "data_centre_evacuated",
            "1 for each evacuated data centre",
            "data_centre",
            dict.fromkeys(relay.current.data_centres, 1),
        ),
    )
