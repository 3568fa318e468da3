"""The loop: sockets that are ready, timers that are due, and the core's turn."""

from __future__ import annotations

import heapq
import itertools
import os
import selectors
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

from sardineferry.clock import now_s
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = ["READ", "WRITE", "IoLoop", "Timer", "Turn"]

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

# With nothing due; bounds what a timer that was set by another thread waits.
IDLE_WAIT_S = 1.0
WAKE_BYTES = 4_096

logger = part_logger("loop")


class Turn(Protocol):
    """Runs once in each pass, after all that was read."""

    def turn(self) -> None:
        """Act on what has come in."""

    def wait_s(self) -> float:
        """Return how long the next turn may wait, in seconds."""


class Timer:
    """An action that is due at a time of the steady clock."""

    __slots__ = ("action", "due_s")

    def __init__(self, due_s: float, action: Callable[[], object]) -> None:
        """Name the time and the action."""
        self.due_s = due_s
        self.action: Callable[[], object] | None = action

    def cancel(self) -> None:
        """Do nothing when due."""
        self.action = None


class IoLoop:
    """Runs everything in the thread that calls ``run``.

    An error within one handler, timer or turn is logged and ends that one
    alone, never the loop.
    """

    def __init__(self) -> None:
        """Start without sockets or timers."""
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        self.sequence = itertools.count()
        self.posted: deque[Callable[[], object]] = deque()
        self.turns: list[Turn] = []
        self.stopped = False
        reader, self.waker = os.pipe()
        for descriptor in (reader, self.waker):
            os.set_blocking(descriptor, False)
        self.selector.register(reader, READ, lambda _: self.take_wakeups(reader))

    def run(self) -> None:
        """Serve until stopped."""
        while not self.stopped:
            self.run_once()

    def run_once(self) -> None:
        """Wait for what is next, and serve all that is ready and due."""
        for key, events in self.selector.select(self.wait_s()):
            self.guard(key.data, events)
        self.run_timers()
        for _ in range(len(self.posted)):
            self.guard(self.posted.popleft())
        for turn in self.turns:
            self.guard(turn.turn)

    def stop(self) -> None:
        """End after this pass."""
        self.stopped = True

    def guard(self, handler: Callable[..., object], *arguments: object) -> None:
        """Call a handler; a defect in it must not end the process."""
        try:
            handler(*arguments)
        except Exception:
            logger.exception("A handler failed.")

    def wait_s(self) -> float:
        """Return how long nothing is due, in seconds."""
        if self.posted:
            return 0.0
        wait_s = IDLE_WAIT_S
        if self.timers:
            wait_s = min(wait_s, self.timers[0][0] - now_s())
        for turn in self.turns:
            wait_s = min(wait_s, turn.wait_s())
        return max(0.0, wait_s)

    def run_timers(self) -> None:
        """Run what is due; what it sets for now waits for the next pass."""
        now = now_s()
        due = []
        while self.timers and self.timers[0][0] <= now:
            due.append(heapq.heappop(self.timers)[2])
        for timer in due:
            if timer.action is not None:
                self.guard(timer.action)

    def call_later(self, delay_s: float, action: Callable[[], object]) -> Timer:
        """Run an action once, after a delay in seconds."""
        timer = Timer(now_s() + delay_s, action)
        heapq.heappush(self.timers, (timer.due_s, next(self.sequence), timer))
        return timer

    def call_every(self, interval_s: float, action: Callable[[], object]) -> None:
        """Run an action again and again, first after one interval in seconds."""

        def repeat() -> None:
            self.call_later(interval_s, repeat)
            action()

        self.call_later(interval_s, repeat)

    def soon(self, action: Callable[[], object]) -> None:
        """Run an action after the present handlers; for the loop's own thread."""
        self.posted.append(action)

    def post(self, action: Callable[[], object]) -> None:
        """Run an action in the loop; any thread or signal handler may ask."""
        self.posted.append(action)
        self.wake()

    def wake(self) -> None:
        """End the present wait."""
        try:
            os.write(self.waker, b"\0")
        except BlockingIOError:
            # So many wake-ups wait to be read that one more is not needed.
            return

    def take_wakeups(self, reader: int) -> None:
        """Forget wake-ups: they have ended the wait."""
        os.read(reader, WAKE_BYTES)

    def watch(
        self, connection: socket.socket, events: int, handler: Callable[[int], object]
    ) -> None:
        """Call a handler with the events that a socket is ready for."""
        self.selector.register(connection, events, handler)

    def change(
        self, connection: socket.socket, events: int, handler: Callable[[int], object]
    ) -> None:
        """Watch a socket for other events."""
        self.selector.modify(connection, events, handler)

    def forget(self, connection: socket.socket) -> None:
        """Watch a socket no longer."""
        self.selector.unregister(connection)
