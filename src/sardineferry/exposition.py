"""Serves metrics over HTTP, for the platform to fetch."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from sardineferry.latencies import LatencyTable
from sardineferry.web import HttpLimits
from sardineferry.web import HttpResponse
from sardineferry.web import HttpServer
from sardineferry.web import json_response

if TYPE_CHECKING:
    from collections import Counter

    from sardineferry.loop import IoLoop
    from sardineferry.metrics_page import MetricsPage
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

__all__ = ["METRICS_PORT", "Exposition"]

# As the deploy file says.
METRICS_PORT = 9464
LIMITS = HttpLimits(header_bytes=8_192, body_bytes=1_024, connections=16)
HEADERS = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)


class Exposition:
    """An HTTP server for metrics.

    The metrics library takes an eighth of a start and is of use only to who
    asks, so the first request loads it, in a thread: the loop goes on.
    """

    def __init__(
        self, loop: IoLoop, host: str, counters: Counter[str], port: int
    ) -> None:
        """Bind the address.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.counters = counters
        self.latencies = LatencyTable()
        self.page: MetricsPage | None = None
        self.loading: threading.Thread | None = None
        # Requests that wait for the library.
        self.waiting: list[Exchange] = []
        self.http = HttpServer(loop, f"{host}:{port}", self.handle, LIMITS)

    def start(self) -> None:
        """Accept requests."""
        self.http.start()

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Show the page, now or once the library is loaded."""
        if request.method != "GET":
            exchange.answer(json_response(405, {"error": "method not allowed"}))
            return
        if self.page is not None:
            self.show(self.page, exchange)
            return
        self.waiting.append(exchange)
        if self.loading is None:
            self.loading = threading.Thread(target=self.load, daemon=True)
            self.loading.start()

    def load(self) -> None:
        """Load the library, in a thread of its own."""
        from sardineferry.metrics_page import MetricsPage

        page = MetricsPage(self.counters, self.latencies)
        self.loop.post(lambda: self.use(page))

    def use(self, page: MetricsPage) -> None:
        """Answer who waits."""
        self.page = page
        waiting, self.waiting = self.waiting, []
        for exchange in waiting:
            self.show(page, exchange)

    def show(self, page: MetricsPage, exchange: Exchange) -> None:
        """Answer with all metrics as they are now."""
        exchange.answer(HttpResponse(200, page.text(), HEADERS))

    def observe(self, what: str, outcome: str, elapsed_ms: int) -> None:
        """Count one latency."""
        self.latencies.observe(what, outcome, elapsed_ms)
