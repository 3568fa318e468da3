"""Loads a state chart, checks it once and serves transitions from a table."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import NamedTuple

import msgspec

__all__ = ["Chart", "ChartError", "load_chart", "parse_chart"]


class ChartError(Exception):
    """A chart is unsound, or an event is not allowed in a state."""


class ChartFile(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON shape of a chart."""

    name: str
    initial: str
    final: list[str]
    transitions: dict[str, dict[str, str]]


class Chart(NamedTuple):
    """A checked chart; ``table`` maps (state, event) to the next state."""

    name: str
    initial: str
    final: frozenset[str]
    table: dict[tuple[str, str], str]

    def advance(self, state: str, event: str) -> str:
        """Return the state that follows.

        Raises:
            ChartError: The event is not allowed in the state.

        """
        following = self.table.get((state, event))
        if following is None:
            raise ChartError(f"{self.name}: no event {event!r} in state {state!r}")
        return following

    def allows(self, state: str, event: str) -> bool:
        """Tell whether the event is allowed in the state."""
        return (state, event) in self.table


def parse_chart(text: bytes) -> Chart:
    """Parse and check a chart.

    Raises:
        ChartError: The chart is malformed, names a state without a row, or
            has a state that cannot be reached.

    """
    try:
        chart = msgspec.json.decode(text, type=ChartFile)
    except msgspec.DecodeError as error:
        raise ChartError(str(error)) from error
    known = set(chart.transitions) | set(chart.final)
    table = {
        (state, event): following
        for state, events in chart.transitions.items()
        for event, following in events.items()
    }
    reached = set(table.values()) | {chart.initial}
    if reached != known:
        raise ChartError(f"{chart.name}: states differ: {sorted(reached ^ known)}")
    return Chart(chart.name, chart.initial, frozenset(chart.final), table)


@functools.cache
def load_chart(name: str) -> Chart:
    """Load a chart of this package by its name."""
    text = Path(__file__).with_name(f"{name}.json").read_bytes()
    return parse_chart(text)
