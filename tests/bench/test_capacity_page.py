"""Tests that docs/CAPACITY.md is up to date with bench/slopes.json."""

from __future__ import annotations

import json

from bench.capacity_page import PAGE_PATH
from bench.capacity_page import SLOPES_PATH
from bench.capacity_page import render


def test_page_matches_the_measured_slopes() -> None:
    document = json.loads(SLOPES_PATH.read_text())
    lines = {line["name"]: line for line in document["lines"]}
    assert render(lines) == PAGE_PATH.read_text()
