"""Counters and latency histograms as text in the exposition format."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import HistogramMetricFamily

from sardineferry.latencies import BUCKETS_MS

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from prometheus_client import Metric

    from sardineferry.latencies import LatencyTable

__all__ = ["MetricsPage"]

MS_PER_S = 1_000


class TableCollector:
    """Exposes the counters of a core and the latencies of its process."""

    def __init__(self, counters: Counter[str], latencies: LatencyTable) -> None:
        """Name what the loop's thread changes."""
        self.counters = counters
        self.latencies = latencies

    def collect(self) -> Iterator[Metric]:
        """Yield each metric as it is now."""
        for name, value in sorted(self.counters.items()):
            yield CounterMetricFamily(
                f"sardineferry_{name}", name.replace("_", " "), value=value
            )
        yield self.histogram()

    def histogram(self) -> Metric:
        """Return the latencies; buckets count what is at or below their bound."""
        family = HistogramMetricFamily(
            "sardineferry_latency_seconds",
            "time from arrival to end",
            labels=["what", "outcome"],
        )
        bounds = [*(str(bound / MS_PER_S) for bound in BUCKETS_MS), "+Inf"]
        for key, counts in sorted(self.latencies.counts.items()):
            buckets = zip(bounds, itertools.accumulate(counts), strict=True)
            total_s = self.latencies.sums_ms[key] / MS_PER_S
            family.add_metric(key, list(buckets), total_s)
        return family


class MetricsPage:
    """The registry of a process and its text."""

    def __init__(self, counters: Counter[str], latencies: LatencyTable) -> None:
        """Register the counters and the latencies."""
        self.registry = CollectorRegistry()
        self.registry.register(TableCollector(counters, latencies))

    def text(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)
