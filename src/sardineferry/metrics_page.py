"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import HistogramMetricFamily

from sardineferry.latencies import BUCKET_BOUNDS_MS

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from prometheus_client import Metric

    from sardineferry.latencies import LatencyHistograms

    # Returns values that can also fall, by name.
    Gauges = Callable[[], Mapping[str, int]]

__all__ = ["MetricsPage"]

MS_PER_S = 1_000


class ProcessCollector:
    """A Prometheus collector for a core's counters and its process's latencies."""

    def __init__(
        self, counters: Counter[str], latencies: LatencyHistograms, gauges: Gauges
    ) -> None:
        """Use the tables that the loop's thread keeps updating."""
        self.counters = counters
        self.latencies = latencies
        self.gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values."""
        for name, value in sorted(self.counters.items()):
            yield CounterMetricFamily(
                f"sardineferry_{name}", name.replace("_", " "), value=value
            )
        for name, value in sorted(self.gauges().items()):
            yield GaugeMetricFamily(
                f"sardineferry_{name}", name.replace("_", " "), value=value
            )
        yield self.latency_histogram()

    def latency_histogram(self) -> Metric:
        """Return the latencies as a histogram with cumulative buckets."""
        family = HistogramMetricFamily(
            "sardineferry_latency_seconds",
            "time from arrival to end; of ticks, from when they are due",
            labels=["what", "outcome"],
        )
        bounds = [*(str(bound / MS_PER_S) for bound in BUCKET_BOUNDS_MS), "+Inf"]
        for key, counts in sorted(self.latencies.counts.items()):
            buckets = zip(bounds, itertools.accumulate(counts), strict=True)
            total_s = self.latencies.sums_ms[key] / MS_PER_S
            family.add_metric(key, list(buckets), total_s)
        return family


class MetricsPage:
    """The metrics of one process as a page of text."""

    def __init__(
        self,
        counters: Counter[str],
        latencies: LatencyHistograms,
        gauges: Gauges = dict,
    ) -> None:
        """Register the counters, the latencies and the present values of ``gauges``."""
        self.registry = CollectorRegistry()
        self.registry.register(ProcessCollector(counters, latencies, gauges))

    def text(self) -> bytes:
        """Return all metrics with their current values."""
        return generate_latest(self.registry)
