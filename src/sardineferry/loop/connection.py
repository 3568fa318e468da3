"""A non-blocking TCP connection with a bounded write buffer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Protocol

from sardineferry.logs import part_logger
from sardineferry.loop.loop import READ
from sardineferry.loop.loop import WRITE
from sardineferry.loop.receive_buffers import set_buffer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.loop.loop import IoLoop

__all__ = ["Connection", "ConnectionOwner"]

MAX_READ_BYTES = 64 * 1024
# A connection with more unsent bytes than this is closed, as its peer does not
# read. The largest configuration takes 256 KiB, so a link can buffer several.
MAX_WRITE_BUFFER_BYTES = 4 * 1024 * 1024
# How long to wait, once everything is sent, for the peer to close its side;
# closing earlier could reset the connection before the peer has read it all.
LINGER_TIMEOUT_S = 1.0
# Heartbeats and request timeouts detect a dead peer sooner than the TCP timeouts,
# which only make sure that its socket is closed at some point.
TCP_USER_TIMEOUT_MS = 10_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)

# States of Linux (tcp_states.h) in which the peer has closed its side, or both have:
# CLOSE, CLOSE_WAIT and LAST_ACK.
PEER_CLOSED_TCP_STATES = frozenset((7, 8, 9))

logger = part_logger("connection")


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def input_ended(self, reason: str) -> None:
        """Handle the end of input; called at most once.

        ``reason`` is empty if the peer closed its side in order; the connection
        can then still send, unless it was closing. Otherwise ``reason`` names
        the error, and the connection is closed already.
        """


class Connection:
    """A connected socket that the loop watches."""

    __slots__ = (
        "closed",
        "closing",
        "end_reported",
        "holds_input",
        "loop",
        "on_flushed",
        "owner",
        "paused",
        "reading",
        "socket",
        "write_buffer",
    )

    def __init__(
        self, loop: IoLoop, connected_socket: socket.socket, owner: ConnectionOwner
    ) -> None:
        """Configure a connected socket and watch it for input.

        Raises:
            OSError: The peer has already closed the connection.

        """
        connected_socket.setblocking(False)
        for level, option, value in TCP_OPTIONS:
            connected_socket.setsockopt(level, option, value)
        self.loop = loop
        self.socket = connected_socket
        self.owner = owner
        self.write_buffer = bytearray()
        self.closing = False
        self.reading = True
        # While the owner sets this, input is left to the system: its arrival pauses
        # reading, and its end is still noticed as long as there is none.
        self.holds_input = False
        self.paused = False
        # Called when the peer has accepted the whole write buffer.
        self.on_flushed: Callable[[], object] | None = None
        self.end_reported = False
        self.closed = False
        loop.watch(connected_socket, READ, self.on_ready)

    def on_ready(self, events: int) -> None:
        """Send buffered bytes and read, as far as the socket is ready for it."""
        if events & WRITE and not self.closed:
            self.flush()
        if events & READ and self.reading and not self.paused and not self.closed:
            if self.holds_input and not self.closing:
                self.peek()
            else:
                self.read()

    def read(self) -> None:
        """Read once; the loop calls again while there is more to read."""
        try:
            data = self.socket.recv(MAX_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.end_input(str(error))
            return
        if not data:
            self.end_input("")
            return
        if self.closing:
            # Discard the data: closing a socket with unread input would reset
            # the connection before the peer has read the last bytes sent.
            return
        try:
            self.owner.data_received(data)
        except Exception:
            logger.exception("A handler of received data failed.")
            self.end_input("handler failed")

    def peek(self) -> None:
        """Pause reading if there is input, and report its end if there is none."""
        try:
            data = self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.end_input(str(error))
            return
        if data:
            self.set_paused(True)
        else:
            self.end_input("")

    def end_input(self, reason: str) -> None:
        """Report the end of input to the owner, once.

        The connection is closed too, unless it can still send.
        """
        if self.closed:
            return
        if self.closing or reason:
            self.close()
        else:
            # At end of file a socket stays readable, so watching it would make
            # the loop spin.
            self.stop_reading()
        if not self.end_reported:
            self.end_reported = True
            self.owner.input_ended(reason)

    def has_ended(self) -> bool:
        """Return whether the peer has closed its side and all its bytes were read.

        While reading is paused, bytes that were not read don't count.
        """
        if self.closed or not self.reading:
            return True
        if self.paused and self.tcp_state() in PEER_CLOSED_TCP_STATES:
            return True
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def tcp_state(self) -> int:
        """Return the state of the TCP connection."""
        return self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading; the peer's bytes wait in the system meanwhile.

        A closing connection is not paused, as it discards what it reads.
        """
        if self.closing:
            paused = False
        if self.paused != paused:
            self.paused = paused
            self.update_events()

    def set_receive_buffer(self, *, large: bool) -> None:
        """Set the size of the receive buffer, and with it the peer's window."""
        try:
            set_buffer(self.socket, large=large)
        except OSError as error:
            logger.debug("A receive buffer can't be set: %s.", error)

    def stop_reading(self) -> None:
        """Stop reading: the peer has closed its sending side."""
        self.reading = False
        self.update_events()

    def write(self, data: bytes) -> None:
        """Send bytes; buffer what the socket does not accept yet."""
        if self.closed or self.closing:
            return
        if self.write_buffer:
            self.write_buffer += data
            if len(self.write_buffer) > MAX_WRITE_BUFFER_BYTES:
                self.end_input("the other end does not read")
            return
        try:
            sent = self.socket.send(data)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self.fail_later(str(error))
            return
        if sent < len(data):
            self.write_buffer += data[sent:]
            self.update_events()

    def fail_later(self, reason: str) -> None:
        """Report an error once the running handler, often the owner's, is done."""
        self.loop.call_soon(lambda: self.end_input(reason))

    def flush(self) -> None:
        """Send as much of the write buffer as the socket accepts."""
        try:
            sent = self.socket.send(self.write_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.end_input(str(error))
            return
        del self.write_buffer[:sent]
        if not self.write_buffer:
            self.update_events()
            if self.closing:
                self.shut_down_sending()
            elif self.on_flushed is not None:
                self.on_flushed()

    def update_events(self) -> None:
        """Watch for readability if reading, and for writability if bytes wait."""
        events = WRITE if self.write_buffer else 0
        if self.reading and not self.paused:
            events |= READ
        if self.closed:
            return
        if not events:
            # While the socket is not watched, only a write notices an error.
            if self.socket in self.loop.selector.get_map():
                self.loop.unwatch(self.socket)
        elif self.socket in self.loop.selector.get_map():
            self.loop.change_events(self.socket, events, self.on_ready)
        else:
            self.loop.watch(self.socket, events, self.on_ready)

    def close_after_flush(self) -> None:
        """Send the write buffer, then close; nothing more can be written."""
        if self.closed or self.closing:
            return
        self.closing = True
        self.set_paused(False)
        if not self.write_buffer:
            self.shut_down_sending()

    def shut_down_sending(self) -> None:
        """Shut down sending; close when the peer does, or after a timeout."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.fail_later(str(error))
            return
        linger_s = LINGER_TIMEOUT_S if self.reading else 0.0
        self.loop.call_later(linger_s, lambda: self.end_input(""))

    def close(self) -> None:
        """Close at once, drop unsent bytes, and don't notify the owner."""
        if self.closed:
            return
        self.closed = True
        if self.socket in self.loop.selector.get_map():
            self.loop.unwatch(self.socket)
        self.socket.close()
        self.write_buffer.clear()
