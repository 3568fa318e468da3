"""A listening TCP socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.logs import part_logger
from sardineferry.loop.address import split_address
from sardineferry.loop.loop import READ
from sardineferry.loop.receive_buffers import open_listening_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from sardineferry.loop.loop import IoLoop

__all__ = ["LISTEN_BACKLOG", "Acceptor", "AddressError"]

# Large enough for all agents or callers to connect at the same time.
LISTEN_BACKLOG = 1_024
# Bounds how long a burst of new connections keeps the loop from serving others.
MAX_ACCEPTS_PER_PASS = 64
# The usual error is that no file descriptors are left, which lasts until
# connections are closed; accepting again at once would make the loop spin.
ACCEPT_RETRY_DELAY_S = 0.1

logger = part_logger("listener")


class AddressError(Exception):
    """The process can't listen on an address."""


class Acceptor:
    """Accepts TCP connections and passes their sockets to ``on_accept``."""

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        on_accept: Callable[[socket.socket], None],
        backlog: int = LISTEN_BACKLOG,
    ) -> None:
        """Bind ``host:port``; port 0 lets the system choose one.

        At most ``backlog`` connections wait to be accepted; the system drops others,
        which are opened again after seconds.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.on_accept = on_accept
        self.watching = False
        try:
            self.socket = open_listening_socket(split_address(address), backlog)
        except (OSError, ValueError) as error:
            raise AddressError(f"cannot listen on {address}: {error}") from error
        self.socket.setblocking(False)
        self.port: int = self.socket.getsockname()[1]

    def start(self) -> None:
        """Start or resume accepting connections."""
        if not self.watching and self.socket.fileno() >= 0:
            self.watching = True
            self.loop.watch(self.socket, READ, self.on_ready)

    def pause(self) -> None:
        """Stop accepting for now; new connections wait in the backlog."""
        if self.watching:
            self.watching = False
            self.loop.unwatch(self.socket)

    def stop(self) -> None:
        """Stop accepting and close the listening socket."""
        self.pause()
        self.socket.close()

    def on_ready(self, _events: int) -> None:
        """Accept up to ``MAX_ACCEPTS_PER_PASS`` connections from the backlog."""
        for _ in range(MAX_ACCEPTS_PER_PASS):
            try:
                connected_socket, _peer = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logger.warning("Cannot accept a connection: %s.", error)
                self.pause()
                self.loop.call_later(ACCEPT_RETRY_DELAY_S, self.start)
                return
            try:
                self.on_accept(connected_socket)
            except OSError as error:
                logger.debug("An accepted connection was already closed: %s.", error)
                connected_socket.close()
