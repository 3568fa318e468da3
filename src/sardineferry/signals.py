"""Turns signals into requests to drain or to print the state."""

from __future__ import annotations

import queue
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SignalWatch"]


class SignalWatch:
    """Waits for SIGTERM or SIGINT; SIGUSR1 prints the state, SIGHUP reloads.

    Handlers only put into a queue, which is safe within a signal handler.
    """

    def __init__(
        self,
        print_state: Callable[[], None],
        reload: Callable[[], None] | None = None,
    ) -> None:
        """Name what prints the state, and what reads the settings again.

        Without the latter SIGHUP keeps its effect, which is to end.
        """
        self.print_state = print_state
        self.reload = reload
        self.received: queue.SimpleQueue[int] = queue.SimpleQueue()

    def install(self) -> None:
        """Install the handlers; only the main thread may do so."""
        numbers = [signal.SIGTERM, signal.SIGINT, signal.SIGUSR1]
        if self.reload is not None:
            numbers.append(signal.SIGHUP)
        for number in numbers:
            signal.signal(number, lambda received, _: self.received.put(received))

    def wait_for_drain(self, timeout_s: float) -> bool:
        """Handle what arrives; true once a drain was asked for."""
        try:
            number = self.received.get(timeout=timeout_s)
        except queue.Empty:
            return False
        if number == signal.SIGUSR1:
            self.print_state()
            return False
        if number == signal.SIGHUP and self.reload is not None:
            self.reload()
            return False
        return True
