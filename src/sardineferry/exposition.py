"""Serves metrics over HTTP, for the platform to fetch."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from sardineferry.http_server import HttpServer

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

    from sardineferry.metrics_page import MetricsPage

__all__ = ["METRICS_PORT", "Exposition"]

# As the deploy file says.
METRICS_PORT = 9464
BODY_LIMIT_BYTES = 1_024
# The metrics library takes an eighth of a start, so it is loaded after the
# first seconds, in which callers come back after a restart.
LOAD_DELAY_S = 3.0


class Exposition:
    """An HTTP server for metrics, which come a little after the start."""

    def __init__(self, host: str, counters: Counter[str], port: int) -> None:
        """Bind the address.

        Raises:
            HttpError: The address can't be bound.

        """
        self.counters = counters
        self.lock = threading.Lock()
        self.page: MetricsPage | None = None
        # Observations before the page is loaded; callers bound their number.
        self.early: list[tuple[str, str, int]] = []
        self.http = HttpServer(self.respond, f"{host}:{port}", 1, BODY_LIMIT_BYTES)
        self.timer = threading.Timer(LOAD_DELAY_S, self.load)
        self.timer.daemon = True

    def start(self) -> None:
        """Start the server."""
        self.http.start()
        self.timer.start()

    def load(self) -> MetricsPage:
        """Load the metrics library and count what came before."""
        from sardineferry.metrics_page import MetricsPage

        page = MetricsPage(self.counters)
        with self.lock:
            if self.page is not None:
                return self.page
            for observation in self.early:
                page.observe(*observation)
            self.early.clear()
            self.page = page
        return page

    def respond(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Show the page; the first request loads it if it comes early."""
        page = self.page or self.load()
        return page.application(environ, start_response)

    def observe(self, what: str, outcome: str, elapsed_ms: int) -> None:
        """Count one latency."""
        with self.lock:
            if self.page is None:
                self.early.append((what, outcome, elapsed_ms))
            else:
                self.page.observe(what, outcome, elapsed_ms)

    def stop(self) -> None:
        """Stop the server."""
        self.timer.cancel()
        self.http.stop()
