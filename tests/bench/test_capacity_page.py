"""Tests that the capacity page follows from the measured slopes."""

from __future__ import annotations

import json

from bench.capacity_page import PAGE
from bench.capacity_page import SLOPES
from bench.capacity_page import render


def test_page_follows_from_slopes() -> None:
    document = json.loads(SLOPES.read_text())
    lines = {line["name"]: line for line in document["lines"]}
    assert render(lines) == PAGE.read_text()
