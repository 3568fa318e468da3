"""Opens connections without waiting for them."""

from __future__ import annotations

import errno
import os
import socket
from typing import TYPE_CHECKING

from sardineferry.loop.address import split_address
from sardineferry.loop.loop import WRITE

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.loop.loop import IoLoop

__all__ = ["dial"]


class Dial:
    """A connection that is being opened."""

    __slots__ = ("done", "loop", "socket", "timer")

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        timeout_s: float,
        done: Callable[[socket.socket | None, str], None],
    ) -> None:
        """Begin; ``done`` gets the socket, or None and the reason."""
        self.loop = loop
        self.done = done
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.timer = loop.call_later(timeout_s, lambda: self.fail("no answer in time"))
        code = self.socket.connect_ex(split_address(address))
        if code not in (0, errno.EINPROGRESS):
            # Told in the next pass, as whoever dials is not ready for it yet.
            loop.soon(lambda: self.fail(os.strerror(code)))
            return
        loop.watch(self.socket, WRITE, self.on_ready)

    def on_ready(self, _events: int) -> None:
        """Hand the socket over, or tell why there is none."""
        code = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.fail(os.strerror(code))
            return
        self.timer.cancel()
        self.loop.forget(self.socket)
        self.done(self.socket, "")

    def fail(self, reason: str) -> None:
        """Give up; several errors of one try are told once."""
        if self.socket.fileno() < 0:
            return
        self.timer.cancel()
        if self.socket in self.loop.selector.get_map():
            self.loop.forget(self.socket)
        self.socket.close()
        self.done(None, reason)


def dial(
    loop: IoLoop,
    address: str,
    timeout_s: float,
    done: Callable[[socket.socket | None, str], None],
) -> None:
    """Open a connection to ``host:port`` within a time limit in seconds.

    ``done`` is called once, with the connected socket or with None and the
    reason.
    """
    try:
        Dial(loop, address, timeout_s, done)
    except (OSError, ValueError) as error:
        # No descriptor is left, or the address is none.
        reason = str(error)
        loop.soon(lambda: done(None, reason))
