"""A listening socket."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from sardineferry.logs import part_logger
from sardineferry.loop.address import split_address
from sardineferry.loop.loop import READ

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.loop.loop import IoLoop

__all__ = ["Acceptor", "AddressError"]

# Connections that wait to be accepted: all agents or callers may come at once.
BACKLOG = 1_024
# Connections that are taken before others are served again.
ACCEPTS_A_PASS = 64
# Without descriptors nothing can be accepted until some are closed.
PAUSE_S = 0.1

logger = part_logger("listener")


class AddressError(Exception):
    """The address can't be listened on."""


class Acceptor:
    """Hands accepted connections on."""

    def __init__(
        self, loop: IoLoop, address: str, accepted: Callable[[socket.socket], None]
    ) -> None:
        """Bind the address; port 0 lets the system choose.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.accepted = accepted
        self.watching = False
        try:
            self.socket = socket.create_server(split_address(address), backlog=BACKLOG)
        except (OSError, ValueError) as error:
            raise AddressError(f"cannot listen on {address}: {error}") from error
        self.socket.setblocking(False)
        self.port: int = self.socket.getsockname()[1]

    def start(self) -> None:
        """Accept connections."""
        if not self.watching and self.socket.fileno() >= 0:
            self.watching = True
            self.loop.watch(self.socket, READ, self.accept)

    def pause(self) -> None:
        """Leave connections in the backlog."""
        if self.watching:
            self.watching = False
            self.loop.forget(self.socket)

    def stop(self) -> None:
        """Accept no more connections."""
        self.pause()
        self.socket.close()

    def accept(self, _events: int) -> None:
        """Take what waits, a bounded number at once."""
        for _ in range(ACCEPTS_A_PASS):
            try:
                connection, _peer = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logger.warning("Accepting a connection fails: %s.", error)
                self.pause()
                self.loop.call_later(PAUSE_S, self.start)
                return
            try:
                self.accepted(connection)
            except OSError as error:
                logger.debug("An accepted connection is gone: %s.", error)
                connection.close()
