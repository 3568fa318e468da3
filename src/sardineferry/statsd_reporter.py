"""Sends the counters of a core to statsd at a fixed interval."""

from __future__ import annotations

from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from collections import Counter

    from sardineferry.loop import IoLoop

__all__ = ["StatsdReporter"]

# Changes of counters are sent at most this late; those since the last report are lost
# when the process ends.
REPORT_INTERVAL_S = 1.0


class StatsdReporter:
    """Sends the increase of each counter since the last report, as datagrams."""

    def __init__(self, address: str, prefix: str, counters: Counter[str]) -> None:
        """Report to statsd at ``host:port``; with an empty address, send nothing."""
        self.counters = counters
        self.reported: dict[str, int] = {}
        self.client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self.client = statsd.StatsClient(host, int(port), prefix=prefix)

    def start(self, loop: IoLoop) -> None:
        """Start reporting at the fixed interval, if an address is set."""
        if self.client is not None:
            loop.call_every(REPORT_INTERVAL_S, self.send)

    def send(self) -> None:
        """Send the increase of each counter that changed."""
        if self.client is None:
            return
        for name, value in list(self.counters.items()):
            increase = value - self.reported.get(name, 0)
            if increase:
                self.client.incr(name, increase)
            self.reported[name] = value
