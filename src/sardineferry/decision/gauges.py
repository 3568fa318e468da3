"""Values of a core's state that are shown on the metrics page as they are."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Gauge"]


class Gauge(NamedTuple):
    """A value that may rise and fall, for each value of the label if it has one."""

    name: str
    description: str
    label: str
    values: dict[str, float]
