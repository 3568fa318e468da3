"""One stream connection: bytes go to its owner, writes wait in a buffer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Protocol

from sardineferry.logs import part_logger
from sardineferry.loop.loop import READ
from sardineferry.loop.loop import WRITE

if TYPE_CHECKING:
    from sardineferry.loop.loop import IoLoop

__all__ = ["Connection", "ConnectionOwner"]

READ_BYTES = 64 * 1024
# Bytes that a peer has not read yet; a link's peer that is so far behind is
# given up. It holds several configurations of the largest size (256 KiB).
WRITE_LIMIT_BYTES = 4 * 1024 * 1024
# After the last byte was sent: for the other end to read it and close.
LINGER_S = 1.0
# A peer whose machine is gone is noticed by heartbeats and time limits; these
# bounds only free the socket.
USER_TIMEOUT_MS = 10_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)

logger = part_logger("connection")


class ConnectionOwner(Protocol):
    """Takes what arrives on a connection."""

    def received(self, data: bytes) -> None:
        """Take bytes."""

    def ended(self, reason: str) -> None:
        """Take that no more bytes come: after the last one, or for an error."""


class Connection:
    """A connected socket on the loop."""

    __slots__ = (
        "closed",
        "finishing",
        "loop",
        "owner",
        "pending",
        "reading",
        "socket",
        "told",
    )

    def __init__(
        self, loop: IoLoop, connected: socket.socket, owner: ConnectionOwner
    ) -> None:
        """Take a connected socket and watch it.

        Raises:
            OSError: The connection is gone already.

        """
        connected.setblocking(False)
        for level, option, value in TCP_OPTIONS:
            connected.setsockopt(level, option, value)
        self.loop = loop
        self.socket = connected
        self.owner = owner
        self.pending = bytearray()
        self.finishing = False
        self.reading = True
        self.told = False
        self.closed = False
        loop.watch(connected, READ, self.on_ready)

    def on_ready(self, events: int) -> None:
        """Write and read as far as the socket lets us."""
        if events & WRITE and not self.closed:
            self.flush()
        if events & READ and self.reading and not self.closed:
            self.read()

    def read(self) -> None:
        """Read once; the loop comes back while there is more."""
        try:
            data = self.socket.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.end(str(error))
            return
        if not data:
            self.end("")
            return
        if self.finishing:
            # Nothing is expected any more; unread bytes would reset what the
            # other end has yet to read.
            return
        try:
            self.owner.received(data)
        except Exception:
            logger.exception("What a connection received can't be handled.")
            self.end("handler failed")

    def end(self, reason: str) -> None:
        """Tell the owner, once, that no more bytes come."""
        if self.closed:
            return
        if self.finishing or reason:
            self.close()
        else:
            # The socket stays readable: watching it would spin.
            self.stop_reading()
        if not self.told:
            self.told = True
            self.owner.ended(reason)

    def stop_reading(self) -> None:
        """Read no more: the other end has sent its last byte."""
        self.reading = False
        self.watch_events()

    def write(self, data: bytes) -> None:
        """Send bytes, now or once the other end reads on."""
        if self.closed or self.finishing:
            return
        if self.pending:
            self.pending += data
            if len(self.pending) > WRITE_LIMIT_BYTES:
                self.end("the other end does not read")
            return
        try:
            sent = self.socket.send(data)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self.fail_later(str(error))
            return
        if sent < len(data):
            self.pending += data[sent:]
            self.watch_events()

    def fail_later(self, reason: str) -> None:
        """Tell the owner of an error in the next pass, not within its write."""
        self.loop.soon(lambda: self.end(reason))

    def flush(self) -> None:
        """Send what waits."""
        try:
            sent = self.socket.send(self.pending)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.end(str(error))
            return
        del self.pending[:sent]
        if not self.pending:
            self.watch_events()
            if self.finishing:
                self.shut_down()

    def watch_events(self) -> None:
        """Watch for what is of use now."""
        events = (READ if self.reading else 0) | (WRITE if self.pending else 0)
        if self.closed:
            return
        if not events:
            # Errors show with the next write.
            if self.socket in self.loop.selector.get_map():
                self.loop.forget(self.socket)
        elif self.socket in self.loop.selector.get_map():
            self.loop.change(self.socket, events, self.on_ready)
        else:
            self.loop.watch(self.socket, events, self.on_ready)

    def finish(self) -> None:
        """Send what waits, then close."""
        if self.closed or self.finishing:
            return
        self.finishing = True
        if not self.pending:
            self.shut_down()

    def shut_down(self) -> None:
        """Send no more; close once the other end has, or after a while."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.fail_later(str(error))
            return
        linger_s = LINGER_S if self.reading else 0.0
        self.loop.call_later(linger_s, lambda: self.end(""))

    def close(self) -> None:
        """Close at once; the owner is not told."""
        if self.closed:
            return
        self.closed = True
        if self.socket in self.loop.selector.get_map():
            self.loop.forget(self.socket)
        self.socket.close()
        self.pending.clear()
