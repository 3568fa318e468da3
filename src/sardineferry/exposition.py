"""Serves counters and latency histograms as text, for the platform to fetch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Histogram
from prometheus_client import make_wsgi_app
from prometheus_client.core import CounterMetricFamily

from sardineferry.http_server import HttpServer

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from prometheus_client import Metric

__all__ = ["METRICS_PORT", "Exposition"]

# As the deploy file says.
METRICS_PORT = 9464
BODY_LIMIT_BYTES = 1_024
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


class Exposition:
    """An HTTP server for metrics."""

    def __init__(self, host: str, counters: Counter[str], port: int) -> None:
        """Bind the address.

        Raises:
            HttpError: The address can't be bound.

        """
        self.registry = CollectorRegistry()
        self.registry.register(CounterCollector(counters))
        self.latency = Histogram(
            "sardineferry_latency_seconds",
            "time from arrival to end",
            ["what", "outcome"],
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        application = make_wsgi_app(self.registry)
        self.http = HttpServer(application, f"{host}:{port}", 1, BODY_LIMIT_BYTES)

    def start(self) -> None:
        """Start the server."""
        self.http.start()

    def observe(self, what: str, outcome: str, elapsed_ms: int) -> None:
        """Count one latency."""
        self.latency.labels(what, outcome).observe(elapsed_ms / 1_000)

    def stop(self) -> None:
        """Stop the server."""
        self.http.stop()
