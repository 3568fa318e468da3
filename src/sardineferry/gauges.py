"""Current values of a process for its metrics."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Gauge"]


class Gauge(NamedTuple):
    """A value that may rise and fall, with its labels as pairs of name and value."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()
