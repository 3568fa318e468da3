"""Handles the signals to drain, to print the state and to reload."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

    from sardineferry.loop import IoLoop

__all__ = ["SignalHandlers"]


class SignalHandlers:
    """SIGTERM and SIGINT drain, SIGUSR1 prints the state, SIGHUP reloads.

    A signal handler only posts its action to the loop, which runs it later.
    """

    def __init__(
        self,
        drain: Callable[[], None],
        print_state: Callable[[], None] | None = None,
        reload: Callable[[], None] | None = None,
    ) -> None:
        """Set the actions; a signal without an action keeps its default effect."""
        self.actions = {signal.SIGTERM: drain, signal.SIGINT: drain}
        if print_state is not None:
            self.actions[signal.SIGUSR1] = print_state
        if reload is not None:
            self.actions[signal.SIGHUP] = reload

    def install(self, loop: IoLoop) -> None:
        """Install the handlers; must be called in the main thread."""
        for number, action in self.actions.items():
            signal.signal(number, post_to(loop, action))
        # Python runs signal handlers in the main thread, between bytecode
        # instructions. If a signal arrives just before the loop waits, or in
        # another thread, only this wakes the loop.
        signal.set_wakeup_fd(loop.wakeup_fd, warn_on_full_buffer=False)


def post_to(
    loop: IoLoop, action: Callable[[], None]
) -> Callable[[int, FrameType | None], None]:
    """Return a signal handler that posts an action to the loop."""
    return lambda _number, _frame: loop.post(action)
