"""Turns signals into requests to drain, to reload or to print the state."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

    from sardineferry.loop import IoLoop

__all__ = ["SignalWatch"]


class SignalWatch:
    """SIGTERM and SIGINT drain, SIGUSR1 prints the state, SIGHUP reloads.

    Handlers only hand an action to the loop.
    """

    def __init__(
        self,
        drain: Callable[[], None],
        print_state: Callable[[], None] | None = None,
        reload: Callable[[], None] | None = None,
    ) -> None:
        """Name the actions; a signal without one keeps its effect."""
        self.actions = {signal.SIGTERM: drain, signal.SIGINT: drain}
        if print_state is not None:
            self.actions[signal.SIGUSR1] = print_state
        if reload is not None:
            self.actions[signal.SIGHUP] = reload

    def install(self, loop: IoLoop) -> None:
        """Install the handlers; only the main thread may do so."""
        for number, action in self.actions.items():
            signal.signal(number, post_to(loop, action))
        # Ends the wait of a loop that a signal reaches within its system call.
        signal.set_wakeup_fd(loop.wakeup_fd, warn_on_full_buffer=False)


def post_to(
    loop: IoLoop, action: Callable[[], None]
) -> Callable[[int, FrameType | None], None]:
    """Return a handler that hands an action to the loop."""
    return lambda _number, _frame: loop.post(action)
