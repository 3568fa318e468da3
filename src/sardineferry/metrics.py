"""Sends counters of a core to statsd at a fixed interval."""

from __future__ import annotations

from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from collections import Counter

    from sardineferry.loop import IoLoop

__all__ = ["MetricsReporter"]

INTERVAL_S = 1.0


class MetricsReporter:
    """Sends the growth of each counter since the last time, as datagrams."""

    def __init__(self, address: str, prefix: str, counters: Counter[str]) -> None:
        """Name the ``host:port`` of statsd; an empty one sends nothing."""
        self.counters = counters
        self.sent: dict[str, int] = {}
        self.client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self.client = statsd.StatsClient(host, int(port), prefix=prefix)

    def start(self, loop: IoLoop) -> None:
        """Send from now on, if there is a statsd to send to."""
        if self.client is not None:
            loop.call_every(INTERVAL_S, self.send)

    def send(self) -> None:
        """Send the growth of each counter."""
        if self.client is None:
            return
        for name, value in list(self.counters.items()):
            growth = value - self.sent.get(name, 0)
            if growth:
                self.client.incr(name, growth)
            self.sent[name] = value
