"""The event loop: runs handlers of sockets, timers, posted actions and hooks."""

from __future__ import annotations

import heapq
import itertools
import os
import selectors
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

from sardineferry.clock import now_ms
from sardineferry.clock import now_s
from sardineferry.logs import part_logger

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = ["READ", "WRITE", "IoLoop", "PassHook", "Timer"]

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

# Longest wait when nothing is due. Setting a timer in another thread does not wake
# the loop, so such a timer can run late by up to this time.
MAX_SELECT_WAIT_S = 1.0
WAKEUP_READ_BYTES = 4_096

logger = part_logger("loop")


class PassHook(Protocol):
    """Runs once in each pass, after sockets, timers and posted actions."""

    def on_pass(self) -> None:
        """Process what this pass has received."""

    def wait_s(self) -> float:
        """Return how long the next pass may wait, in seconds; may be negative."""


class Timer:
    """An action to run at a time of ``sardineferry.clock``."""

    __slots__ = ("action", "due_s")

    def __init__(self, due_s: float, action: Callable[[], object]) -> None:
        """Set the time, in seconds, and the action."""
        self.due_s = due_s
        self.action: Callable[[], object] | None = action

    def cancel(self) -> None:
        """Drop the action, so that it does not run when the timer is due."""
        self.action = None


class IoLoop:
    """Runs all handlers, timers and hooks in the thread that calls ``run``.

    An exception in one of them is logged; the loop and the others go on.
    """

    def __init__(self) -> None:
        """Start without sockets or timers."""
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Timer]] = []
        # Orders timers that are due at the same time.
        self.sequence = itertools.count()
        self.pending_actions: deque[Callable[[], object]] = deque()
        self.pass_hooks: list[PassHook] = []
        self.stopped = False
        # What arrived after this time has not been read in the present pass.
        self.polled_ms = 0
        reader, self.wakeup_fd = os.pipe()
        for descriptor in (reader, self.wakeup_fd):
            os.set_blocking(descriptor, False)
        self.selector.register(reader, READ, lambda _: self.drain_wakeups(reader))

    def run(self) -> None:
        """Run passes until stopped."""
        while not self.stopped:
            self.run_once()

    def run_once(self) -> None:
        """Run one pass: wait, then handle all that is ready or due."""
        for key, events in self.poll():
            self.call_guarded(key.data, events)
        self.run_due_timers()
        for _ in range(len(self.pending_actions)):
            self.call_guarded(self.pending_actions.popleft())
        for hook in self.pass_hooks:
            self.call_guarded(hook.on_pass)

    def poll(self) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait until a socket is ready or something is due; return the ready sockets.

        These are determined after the wait: it may have been long, and the process may
        have been paused at its end.
        """
        timeout_s = self.select_timeout_s()
        if timeout_s > 0.0:
            self.selector.select(timeout_s)
        self.polled_ms = now_ms()
        return self.selector.select(0.0)

    def stop(self) -> None:
        """Let ``run`` return after the current pass."""
        self.stopped = True

    def call_guarded(self, handler: Callable[..., object], *arguments: object) -> None:
        """Call a handler and log its exception, which must not end the process."""
        try:
            handler(*arguments)
        except Exception:
            logger.exception("A handler failed.")

    def select_timeout_s(self) -> float:
        """Return how long to wait for ready sockets, in seconds."""
        if self.pending_actions:
            return 0.0
        wait_s = MAX_SELECT_WAIT_S
        if self.timers:
            wait_s = min(wait_s, self.timers[0][0] - now_s())
        for hook in self.pass_hooks:
            wait_s = min(wait_s, hook.wait_s())
        return max(0.0, wait_s)

    def run_due_timers(self) -> None:
        """Run due timers; those that they add run in the next pass at the earliest."""
        now = now_s()
        due = []
        while self.timers and self.timers[0][0] <= now:
            due.append(heapq.heappop(self.timers)[2])
        for timer in due:
            if timer.action is not None:
                self.call_guarded(timer.action)

    def call_later(self, delay_s: float, action: Callable[[], object]) -> Timer:
        """Run an action once, after a delay."""
        timer = Timer(now_s() + delay_s, action)
        heapq.heappush(self.timers, (timer.due_s, next(self.sequence), timer))
        return timer

    def call_every(self, interval_s: float, action: Callable[[], object]) -> None:
        """Run an action repeatedly, for the first time after one interval."""

        def repeat() -> None:
            self.call_later(interval_s, repeat)
            action()

        self.call_later(interval_s, repeat)

    def call_soon(self, action: Callable[[], object]) -> None:
        """Run an action after the handlers of this pass.

        Only for the loop's own thread: it does not wake the loop.
        """
        self.pending_actions.append(action)

    def post(self, action: Callable[[], object]) -> None:
        """Run an action in the loop; safe from any thread or signal handler."""
        self.pending_actions.append(action)
        self.wake()

    def wake(self) -> None:
        """Wake the loop if it waits for sockets."""
        try:
            os.write(self.wakeup_fd, b"\0")
        except BlockingIOError:
            # The pipe is full of unread wake-ups, so the loop wakes anyway.
            return

    def drain_wakeups(self, reader: int) -> None:
        """Discard the bytes that woke the loop."""
        os.read(reader, WAKEUP_READ_BYTES)

    def watch(
        self, sock: socket.socket, events: int, handler: Callable[[int], object]
    ) -> None:
        """Call ``handler`` with the events that a socket is ready for."""
        self.selector.register(sock, events, handler)

    def change_events(
        self, sock: socket.socket, events: int, handler: Callable[[int], object]
    ) -> None:
        """Replace the events and the handler of a watched socket."""
        self.selector.modify(sock, events, handler)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        self.selector.unregister(sock)
