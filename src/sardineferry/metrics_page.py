"""Counters and latency histograms as text in the exposition format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Histogram
from prometheus_client import make_wsgi_app
from prometheus_client.core import CounterMetricFamily

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from _typeshed.wsgi import WSGIApplication
    from prometheus_client import Metric

__all__ = ["MetricsPage"]

# From a fifth of a typical task to three response-time goals of the longest.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0)


class CounterCollector:
    """Exposes the counters of a core."""

    def __init__(self, counters: Counter[str]) -> None:
        """Name the counters, which the core's thread changes."""
        self.counters = counters

    def collect(self) -> Iterator[Metric]:
        """Yield each counter as it is now."""
        for name, value in list(self.counters.items()):
            yield CounterMetricFamily(
                f"sardineferry_{name}", name.replace("_", " "), value=value
            )


class MetricsPage:
    """The registry of a process and the application that shows it."""

    def __init__(self, counters: Counter[str]) -> None:
        """Register the counters and the latency histogram."""
        registry = CollectorRegistry()
        registry.register(CounterCollector(counters))
        self.latency = Histogram(
            "sardineferry_latency_seconds",
            "time from arrival to end",
            ["what", "outcome"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.application: WSGIApplication = make_wsgi_app(registry)

    def observe(self, what: str, outcome: str, elapsed_ms: int) -> None:
        """Count one latency."""
        self.latency.labels(what, outcome).observe(elapsed_ms / 1_000)
