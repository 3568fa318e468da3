"""State machines, each described by a JSON file in this package."""

from __future__ import annotations

from sardineferry.charts.chart import Chart
from sardineferry.charts.chart import ChartError
from sardineferry.charts.chart import load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
