"""The receive buffers of accepted connections, which hold bytes that were not read yet.

Such bytes count as memory of the process. Each accepted connection, also one that still
waits to be accepted, has a small buffer. Connections that receive large bodies or that
carry a link get a large one, as long as all of these together stay within a limit: else
bytes arrive in small windows, which takes longer but loses nothing.
"""

from __future__ import annotations

import socket

__all__ = [
    "LARGE_BUFFER_BYTES",
    "MAX_UNREAD_BYTES",
    "LargeBuffers",
    "open_listening_socket",
    "set_buffer",
]

# Sizes to be set. The system doubles them for its own overhead, and bytes received may
# take all of that.
SMALL_BUFFER_BYTES = 8_192
LARGE_BUFFER_BYTES = 65_536
MAX_UNREAD_BYTES = 2 * SMALL_BUFFER_BYTES


class LargeBuffers:
    """How many large buffers are in use, and how much memory they may take.

    The windows of connections with a small buffer have no scale, so that a large one
    holds at most ``LARGE_BUFFER_BYTES``.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start without large buffers."""
        self.limit_bytes = limit_bytes
        self.count = 0

    def take(self) -> bool:
        """Count one more, unless that would exceed the limit; return whether it may."""
        if (self.count + 1) * LARGE_BUFFER_BYTES > self.limit_bytes:
            return False
        self.count += 1
        return True

    def give_back(self) -> None:
        """Count one less."""
        self.count -= 1


def open_listening_socket(address: tuple[str, int], backlog: int) -> socket.socket:
    """Listen on an IPv4 address; accepted connections inherit the small buffer.

    Raises:
        OSError: The address can't be bound.

    """
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Only sizes that are set before listening apply to the first window.
        set_buffer(listening_socket, large=False)
        listening_socket.bind(address)
        listening_socket.listen(backlog)
    except OSError:
        listening_socket.close()
        raise
    return listening_socket


def set_buffer(connected_socket: socket.socket, *, large: bool) -> None:
    """Set the size of a socket's receive buffer.

    Raises:
        OSError: The connection has failed.

    """
    size = LARGE_BUFFER_BYTES if large else SMALL_BUFFER_BYTES
    connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
