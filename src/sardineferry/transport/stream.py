"""Frames on a TCP connection, each after its length.

Blocking sockets, with a thread for each direction: a gRPC stream takes more
processor time per frame than the smallest instances have; see
docs/design/platform.md.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FrameStream", "StreamError", "split_address"]

# Bytes of the length that precedes a frame, most significant first.
LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 64 * 1024 * 1024
READ_BUFFER_BYTES = 64 * 1024
# A peer whose machine is gone is noticed by heartbeats; these bounds only free
# the socket of a link that was given up.
USER_TIMEOUT_MS = 10_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class StreamError(Exception):
    """The connection broke, or its other end sent something else than frames."""


class FrameStream:
    """One connection; one thread may read it while another writes."""

    def __init__(self, connection: socket.socket) -> None:
        """Take a connected socket."""
        connection.settimeout(None)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in TCP_OPTIONS:
            connection.setsockopt(socket.IPPROTO_TCP, option, value)
        self.socket = connection
        self.reader = connection.makefile("rb", buffering=READ_BUFFER_BYTES)

    def read(self) -> Iterator[bytes]:
        """Yield frames until the other end has sent its last.

        Raises:
            StreamError: The connection broke, within a frame or between two.

        """
        while True:
            length_bytes = self.receive(LENGTH_BYTES, at_end=True)
            if not length_bytes:
                return
            length = int.from_bytes(length_bytes)
            if length > FRAME_LIMIT_BYTES:
                raise StreamError(f"a frame of {length} bytes")
            yield self.receive(length)

    def receive(self, length: int, *, at_end: bool = False) -> bytes:
        """Return so many bytes; none at an end that is allowed."""
        try:
            received: bytes = self.reader.read(length)
        except (OSError, ValueError) as error:
            raise StreamError(str(error)) from error
        if len(received) < length and (received or not at_end):
            raise StreamError("the connection ended within a frame")
        return received

    def write(self, frame: bytes) -> None:
        """Send a frame.

        Raises:
            StreamError: The connection broke.

        """
        try:
            self.socket.sendall(len(frame).to_bytes(LENGTH_BYTES) + frame)
        except OSError as error:
            raise StreamError(str(error)) from error

    def finish(self) -> None:
        """Send no more; the other end may go on."""
        self.shut_down(socket.SHUT_WR)

    def abort(self) -> None:
        """End both directions at once, which wakes both threads."""
        self.shut_down(socket.SHUT_RDWR)

    def shut_down(self, how: int) -> None:
        """End a direction of a connection that may be broken already."""
        try:
            self.socket.shutdown(how)
        except OSError:
            # Nothing is left to end.
            return

    def close(self) -> None:
        """Free the socket, after both threads have ended."""
        self.reader.close()
        self.socket.close()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
