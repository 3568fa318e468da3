"""Sends counters of a core to statsd at a fixed interval."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from collections import Counter

__all__ = ["MetricsReporter"]

INTERVAL_S = 1.0


class MetricsReporter:
    """A thread that sends the growth of each counter since the last time."""

    def __init__(self, address: str, prefix: str, counters: Counter[str]) -> None:
        """Name the ``host:port`` of statsd; an empty one sends nothing."""
        self.counters = counters
        self.sent: dict[str, int] = {}
        self.client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self.client = statsd.StatsClient(host, int(port), prefix=prefix)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start the thread, if there is a statsd to send to."""
        if self.client is not None:
            self.thread.start()

    def run(self) -> None:
        """Send until stopped."""
        while not self.stopped.wait(INTERVAL_S):
            self.send()

    def send(self) -> None:
        """Send the growth of each counter."""
        if self.client is None:
            return
        for name, value in list(self.counters.items()):
            growth = value - self.sent.get(name, 0)
            if growth:
                self.client.incr(name, growth)
            self.sent[name] = value
