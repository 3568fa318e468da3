"""Opens TCP connections without blocking."""

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


class ConnectionAttempt:
    """A non-blocking attempt to open a connection."""

    __slots__ = ("loop", "on_done", "socket", "timer")

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        timeout_s: float,
        on_done: Callable[[socket.socket | None, str], None],
    ) -> None:
        """Start connecting; the parameters are those of ``dial``."""
        self.loop = loop
        self.on_done = on_done
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.timer = loop.call_later(timeout_s, lambda: self.fail("no answer in time"))
        code = self.socket.connect_ex(split_address(address))
        if code not in (0, errno.EINPROGRESS):
            # Callers rely on dial() returning before ``on_done`` is called.
            loop.call_soon(lambda: self.fail(os.strerror(code)))
            return
        loop.watch(self.socket, WRITE, self.on_ready)

    def on_ready(self, _events: int) -> None:
        """Pass on the socket, or the reason why connecting failed."""
        code = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.fail(os.strerror(code))
            return
        self.timer.cancel()
        self.loop.unwatch(self.socket)
        self.on_done(self.socket, "")

    def fail(self, reason: str) -> None:
        """Close the socket and report an error; ignored if already closed."""
        if self.socket.fileno() < 0:
            return
        self.timer.cancel()
        if self.socket in self.loop.selector.get_map():
            self.loop.unwatch(self.socket)
        self.socket.close()
        self.on_done(None, reason)


def dial(
    loop: IoLoop,
    address: str,
    timeout_s: float,
    on_done: Callable[[socket.socket | None, str], None],
) -> None:
    """Open an IPv4 connection to ``host:port`` within ``timeout_s``.

    ``on_done`` is called once, after this function has returned: with the
    connected socket and an empty text, or with None and the reason.
    """
    try:
        ConnectionAttempt(loop, address, timeout_s, on_done)
    except (OSError, ValueError) as error:
        # No file descriptor is left, or the address is malformed.
        reason = str(error)
        loop.call_soon(lambda: on_done(None, reason))
