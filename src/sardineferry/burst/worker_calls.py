"""Threads that call the worker, each with a connection of its own."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.mailbox import Mailbox

__all__ = ["Caller", "WorkerCalls"]


class Caller(Protocol):
    """Carries out one order at a time."""

    def perform(self, order: object) -> object:
        """Carry out an order and return the event that tells its answer."""


class WorkerCalls:
    """Orders in a queue, and the threads that carry them out."""

    def __init__(
        self, threads: int, connect: Callable[[], Caller], mailbox: Mailbox
    ) -> None:
        """Name the number of threads and what makes each one's connection."""
        self.connect = connect
        self.mailbox = mailbox
        self.orders: queue.SimpleQueue[object] = queue.SimpleQueue()
        self.threads = [
            threading.Thread(target=self.run, name=f"worker call {index}", daemon=True)
            for index in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def put(self, order: object) -> None:
        """Queue an order."""
        self.orders.put(order)

    def run(self) -> None:
        """Carry out orders as they come."""
        caller = self.connect()
        while True:
            self.mailbox.put(caller.perform(self.orders.get()))
