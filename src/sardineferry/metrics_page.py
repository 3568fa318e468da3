"""Counters, gauges and latency histograms in the Prometheus text format."""

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
    from collections.abc import Iterable
    from collections.abc import Iterator

    from prometheus_client import Metric

    from sardineferry.decision.gauges import Gauge
    from sardineferry.latencies import LatencyHistograms

__all__ = ["MetricsPage"]

MS_PER_S = 1_000


class ProcessCollector:
    """A Prometheus collector for a core's values and its process's latencies."""

    def __init__(
        self,
        counters: Counter[str],
        latencies: LatencyHistograms,
        read_gauges: Callable[[], Iterable[Gauge]],
    ) -> None:
        """Use the tables that the loop's thread keeps updating."""
        self.counters = counters
        self.latencies = latencies
        self.read_gauges = read_gauges

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values."""
        for name, value in sorted(self.counters.items()):
            yield CounterMetricFamily(
                f"sardineferry_{name}", name.replace("_", " "), value=value
            )
        for gauge in self.read_gauges():
            yield self.gauge_family(gauge)
        yield self.latency_histogram()

    def gauge_family(self, gauge: Gauge) -> Metric:
        """Return a gauge with its current values."""
        labels = [gauge.label] if gauge.label else []
        family = GaugeMetricFamily(
            f"sardineferry_{gauge.name}", gauge.description, labels=labels
        )
        for label_value, value in sorted(gauge.values.items()):
            family.add_metric([label_value] if labels else [], value)
        return family

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
        read_gauges: Callable[[], Iterable[Gauge]] = tuple,
    ) -> None:
        """Register the counters, the gauges and the latencies."""
        self.registry = CollectorRegistry()
        self.registry.register(ProcessCollector(counters, latencies, read_gauges))

    def text(self) -> bytes:
        """Return all metrics with their current values."""
        return generate_latest(self.registry)
