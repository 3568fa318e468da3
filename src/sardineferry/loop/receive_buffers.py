"""The receive buffers of accepted connections, which hold bytes that were not read yet.

Such bytes count as memory of the process. Each accepted connection, also one that still
waits to be accepted, has a small buffer. Connections that receive large bodies or that
carry a link get a large one, as long as all of these together stay within a limit: else
bytes arrive in small windows, which takes longer but loses nothing.
"""

from __future__ import annotations

import socket

from sardineferry.logs import part_logger

__all__ = [
    "LARGE_BUFFER_BYTES",
    "MAX_SEGMENT_BYTES",
    "MAX_UNREAD_BYTES",
    "MAX_UNREAD_LARGE_BYTES",
    "LargeBuffers",
    "open_listening_socket",
    "set_buffer",
]

# Sizes to be set. The system doubles them for its own overhead, and bytes received may
# take all of that.
SMALL_BUFFER_BYTES = 8_192
MAX_UNREAD_BYTES = 2 * SMALL_BUFFER_BYTES
LARGE_BUFFER_BYTES = 32_768
MAX_UNREAD_LARGE_BYTES = 2 * LARGE_BUFFER_BYTES
# The size of segments on an Ethernet.
MAX_SEGMENT_BYTES = 1_460

logger = part_logger("listener")


class LargeBuffers:
    """How many large buffers are in use, and how much memory they may take."""

    def __init__(self, limit_bytes: int) -> None:
        """Start without large buffers."""
        self.limit_bytes = limit_bytes
        self.count = 0

    def take(self) -> bool:
        """Count one more, unless that would exceed the limit; return whether it may."""
        if (self.count + 1) * MAX_UNREAD_LARGE_BYTES > self.limit_bytes:
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
        limit_segments(listening_socket)
        listening_socket.bind(address)
        listening_socket.listen(backlog)
    except OSError:
        listening_socket.close()
        raise
    return listening_socket


def limit_segments(listening_socket: socket.socket) -> None:
    """Let the other ends of accepted connections send small segments.

    A segment of a loopback interface is larger than the small buffer. The system then
    announces no window until the buffer is empty, and the sender waits for 200 ms.
    """
    try:
        listening_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, MAX_SEGMENT_BYTES
        )
    except OSError as error:
        # Not all systems support it, and on most networks segments are small anyway.
        logger.debug("The size of segments can't be limited: %s.", error)


def set_buffer(connected_socket: socket.socket, *, large: bool) -> None:
    """Set the size of a socket's receive buffer.

    Raises:
        OSError: The connection has failed.

    """
    size = LARGE_BUFFER_BYTES if large else SMALL_BUFFER_BYTES
    connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
