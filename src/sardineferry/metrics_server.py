"""Serves metrics over HTTP for the platform, in the Prometheus text format."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from sardineferry.decision.gauges import Gauge
from sardineferry.latencies import LatencyHistograms
from sardineferry.loop import ClientGuard
from sardineferry.web import HttpLimits
from sardineferry.web import HttpResponse
from sardineferry.web import HttpServer
from sardineferry.web import json_response

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable
    from collections.abc import Iterable

    from sardineferry.loop import IoLoop
    from sardineferry.metrics_page import MetricsPage
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

__all__ = ["METRICS_PORT", "METRICS_SERVER_LIMITS", "MetricsServer"]

# The port that the deploy file names.
METRICS_PORT = 9464
METRICS_SERVER_LIMITS = HttpLimits(
    header_bytes=8_192,
    body_bytes=1_024,
    header_timeout_s=3.0,
    request_timeout_s=15.0,
    connections=16,
    backlog=32,
)
HEADERS = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)


class MetricsServer:
    """An HTTP server for metrics.

    The first request imports the metrics library, because that would take an
    eighth of the start-up time. A thread imports it, so that the loop isn't
    blocked.
    """

    def __init__(
        self,
        loop: IoLoop,
        host: str,
        counters: Counter[str],
        port: int,
        read_gauges: Callable[[], Iterable[Gauge]] = tuple,
        guard: ClientGuard | None = None,
    ) -> None:
        """Bind the address; ``guard`` is the one of the process's listeners.

        ``read_gauges`` is called for each page.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.counters = counters
        self.read_gauges = read_gauges
        self.latencies = LatencyHistograms()
        self.page: MetricsPage | None = None
        self.loader: threading.Thread | None = None
        # Requests to be answered once the library is loaded.
        self.waiting_requests: list[Exchange] = []
        self.guard = ClientGuard(loop) if guard is None else guard
        self.http = HttpServer(
            loop, f"{host}:{port}", self.handle, METRICS_SERVER_LIMITS, self.guard
        )

    def start(self) -> None:
        """Start accepting connections."""
        self.http.start()

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer with the metrics, now or once the library is loaded."""
        if request.method != "GET":
            exchange.answer(json_response(405, {"error": "method not allowed"}))
            return
        if self.page is not None:
            self.answer_with(self.page, exchange)
            return
        self.waiting_requests.append(exchange)
        if self.loader is None:
            self.loader = threading.Thread(target=self.load, daemon=True)
            self.loader.start()

    def load(self) -> None:
        """Import the metrics library; runs in the ``loader`` thread."""
        from sardineferry.metrics_page import MetricsPage

        page = MetricsPage(self.counters, self.latencies, self.read_all_gauges)
        self.loop.post(lambda: self.handle_loaded(page))

    def read_all_gauges(self) -> Iterable[Gauge]:
        """Return the gauges of the process, and those of its guard."""
        for name, value in self.guard.gauges().items():
            yield Gauge(name, name.replace("_", " "), "", {"": value})
        yield from self.read_gauges()

    def handle_loaded(self, page: MetricsPage) -> None:
        """Keep the loaded page and answer the requests that wait for it."""
        self.page = page
        waiting_requests, self.waiting_requests = self.waiting_requests, []
        for exchange in waiting_requests:
            self.answer_with(page, exchange)

    def answer_with(self, page: MetricsPage, exchange: Exchange) -> None:
        """Answer a request with the current metrics."""
        exchange.answer(HttpResponse(200, page.text(), HEADERS))

    def observe(self, what: str, outcome: str, elapsed_ms: int) -> None:
        """Add a latency to the histogram of its kind and outcome."""
        self.latencies.observe(what, outcome, elapsed_ms)
