"""Tests of loading, checking and following state charts."""

from __future__ import annotations

import pytest

from sardineferry.charts import ChartError
from sardineferry.charts import load_chart
from sardineferry.charts.chart import parse_chart

NAMES = ("task", "job", "agent", "start", "health")


@pytest.mark.parametrize("name", NAMES)
def test_load_chart_returns_the_named_chart(name: str) -> None:
    chart = load_chart(name)
    assert chart.name == name
    assert chart.transitions


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (b"{", "truncated"),
        (b'{"name": "x", "initial": "a", "final": []}', "transitions"),
        (
            b'{"name": "x", "initial": "a", "final": ["lost"],'
            b' "transitions": {"a": {"go": "a"}}}',
            "lost",
        ),
        (
            b'{"name": "x", "initial": "a", "final": [],'
            b' "transitions": {"a": {"go": "b"}}}',
            "'b'",
        ),
    ],
)
def test_parse_chart_rejects_invalid_chart(text: bytes, message: str) -> None:
    with pytest.raises(ChartError, match=message):
        parse_chart(text)


@pytest.mark.parametrize(
    ("name", "state", "event", "next_state"),
    [
        ("task", "waiting", "send", "sent"),
        ("task", "uncertain", "lose", "unknown"),
        ("start", "queued", "refuse", "tombstone"),
        ("agent", "leaving", "hear", "leaving"),
        ("health", "probing", "trip", "open"),
    ],
)
def test_advance_returns_the_next_state(
    name: str, state: str, event: str, next_state: str
) -> None:
    assert load_chart(name).advance(state, event) == next_state


@pytest.mark.parametrize(
    ("name", "state", "event"),
    [
        ("task", "answered", "send"),
        ("start", "tombstone", "run"),
        ("start", "finished", "run"),
        ("job", "complete", "fail"),
    ],
)
def test_advance_rejects_events_of_final_states(
    name: str, state: str, event: str
) -> None:
    with pytest.raises(ChartError, match=state):
        load_chart(name).advance(state, event)
