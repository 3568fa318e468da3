"""Loads and checks state charts: the states of an object and their transitions."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import NamedTuple

import msgspec

__all__ = ["Chart", "ChartError", "load_chart", "parse_chart"]


class ChartError(Exception):
    """A chart is invalid, or an event is not allowed in a state."""


class ChartFile(msgspec.Struct, forbid_unknown_fields=True):
    """The fields of a chart's JSON file.

    ``transitions`` maps a state and an event to the next state.
    """

    name: str
    initial: str
    final: list[str]
    transitions: dict[str, dict[str, str]]


class Chart(NamedTuple):
    """A checked chart; ``transitions`` maps (state, event) to the next state."""

    name: str
    initial: str
    final: frozenset[str]
    transitions: dict[tuple[str, str], str]

    def advance(self, state: str, event: str) -> str:
        """Return the state that an event leads to.

        Raises:
            ChartError: The event is not allowed in the state.

        """
        next_state = self.transitions.get((state, event))
        if next_state is None:
            raise ChartError(
                f"{self.name}: event {event!r} is not allowed in state {state!r}"
            )
        return next_state

    def allows(self, state: str, event: str) -> bool:
        """Return whether the event is allowed in the state."""
        return (state, event) in self.transitions


def parse_chart(text: bytes) -> Chart:
    """Parse and check a chart.

    Raises:
        ChartError: The chart is malformed, or has a state that is not declared
            or that no transition leads to.

    """
    try:
        chart = msgspec.json.decode(text, type=ChartFile)
    except msgspec.DecodeError as error:
        raise ChartError(str(error)) from error
    declared = set(chart.transitions) | set(chart.final)
    transitions = {
        (state, event): next_state
        for state, events in chart.transitions.items()
        for event, next_state in events.items()
    }
    reachable = set(transitions.values()) | {chart.initial}
    if reachable != declared:
        raise ChartError(
            f"{chart.name}: states undeclared or unreachable: "
            f"{sorted(reachable ^ declared)}"
        )
    return Chart(chart.name, chart.initial, frozenset(chart.final), transitions)


@functools.cache
def load_chart(name: str) -> Chart:
    """Load the chart in ``name.json`` of this package; each is loaded once."""
    text = Path(__file__).with_name(f"{name}.json").read_bytes()
    return parse_chart(text)
