"""State charts as JSON files, and the table that interprets them."""

from __future__ import annotations

from sardineferry.charts.chart import Chart
from sardineferry.charts.chart import ChartError
from sardineferry.charts.chart import load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
