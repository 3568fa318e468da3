"""Clients that are not under the system's control: they stop early or don't read.

They only send. What they get back is discarded, or left unread if ``reads`` is false.
Some send whole requests of legal size that would take much memory or time to process.
"""

from __future__ import annotations

import contextlib
import re
import selectors
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

from sardineferry.loop import split_address

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

__all__ = [
    "ProcessUsage",
    "chunked_body",
    "incomplete_frame",
    "open_clients",
    "open_each",
    "read_unread_bytes",
    "read_usage",
    "request_head",
    "sized_body",
    "whole_request",
]

# Bytes of a body that are never sent.
MISSING_BYTES = 44
# Sending ends when no client could send for this time, or after the longer one.
QUIET_S = 3.0
MAX_SEND_S = 30.0
SELECT_S = 0.1
READ_BYTES = 65_536
KIB_PER_MB = 1_024
STATUS_PATTERN = re.compile(r"^(VmHWM|VmRSS):\s+(\d+) kB$", re.MULTILINE)
TCP_TABLE = Path("/proc/net/tcp")
# Columns of the table: the local address, and the sizes of both queues of the socket.
LOCAL_COLUMN = 1
QUEUES_COLUMN = 4
LISTEN_STATE = "0A"
STATE_COLUMN = 3


class ProcessUsage(NamedTuple):
    """What a process uses, and the highest resident memory it has had."""

    resident_mb: float
    peak_mb: float
    descriptors: int


def read_usage(process_id: int) -> ProcessUsage:
    """Read the memory and the open descriptors of a process."""
    process = Path("/proc") / str(process_id)
    sizes = dict(STATUS_PATTERN.findall((process / "status").read_text()))
    return ProcessUsage(
        int(sizes["VmRSS"]) / KIB_PER_MB,
        int(sizes["VmHWM"]) / KIB_PER_MB,
        sum(1 for _ in (process / "fd").iterdir()),
    )


def read_unread_bytes(ports: Iterable[int]) -> int:
    """Return how many received bytes wait unread on connections to these ports.

    Connections that have not been accepted yet count, too.
    """
    wanted = frozenset(ports)
    unread = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        port = int(columns[LOCAL_COLUMN].rpartition(":")[2], 16)
        # For a listening socket, the column is the length of its accept queue.
        if port in wanted and columns[STATE_COLUMN] != LISTEN_STATE:
            unread += int(columns[QUEUES_COLUMN].partition(":")[2], 16)
    return unread


def request_head(method: str, path: str, host: str, *headers: str) -> bytes:
    """Return the head of a request."""
    lines = (f"{method} {path} HTTP/1.1", f"Host: {host}", *headers, "", "")
    return "\r\n".join(lines).encode()


def whole_request(method: str, path: str, host: str, body: bytes) -> bytes:
    """Return a complete request with this body."""
    return request_head(method, path, host, f"Content-Length: {len(body)}") + body


def sized_body(method: str, path: str, host: str, size: int) -> bytes:
    """Return a request whose body of ``size`` bytes stops just before its end."""
    head = request_head(method, path, host, f"Content-Length: {size}")
    return head + b" " * (size - MISSING_BYTES)


def chunked_body(
    method: str, path: str, host: str, size: int, chunk_bytes: int
) -> bytes:
    """Return a request with a chunked body that lacks its last chunk."""
    head = request_head(method, path, host, "Transfer-Encoding: chunked")
    chunk = f"{chunk_bytes:x}\r\n".encode() + b" " * chunk_bytes + b"\r\n"
    return head + chunk * (size // chunk_bytes)


def incomplete_frame(size: int, sent: int) -> bytes:
    """Return the beginning of a frame of a link."""
    return size.to_bytes(4) + b"\0" * sent


class HostileClient:
    """One connection that sends as fast as the other end reads."""

    def __init__(self, address: str, data: bytes, piece_bytes: int, reads: bool):
        """Connect; ``piece_bytes`` is the most that one call sends."""
        self.data = memoryview(data)
        self.piece_bytes = piece_bytes
        self.reads = reads
        self.socket = socket.socket()
        if not reads:
            # Small, so that unread answers stay in the server.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        # Sends whole pieces, as long as the other end reads.
        self.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, min(piece_bytes, 16_384)
        )
        self.socket.setblocking(False)
        # Not waited for: a full queue of new connections delays it for seconds.
        self.socket.connect_ex(split_address(address))

    def advance(self) -> bool:
        """Send a piece and discard answers; return false if nothing is left to do."""
        try:
            if self.reads:
                with contextlib.suppress(BlockingIOError):
                    if not self.socket.recv(READ_BYTES):
                        return False
            sent = self.socket.send(self.data[: self.piece_bytes])
            self.data = self.data[sent:]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return bool(self.data)


@contextlib.contextmanager
def open_clients(
    address: str,
    count: int,
    data: bytes,
    piece_bytes: int = READ_BYTES,
    reads: bool = True,
) -> Iterator[None]:
    """Connect clients, let all send what they can, and keep them connected."""
    with open_each(address, [data] * count, piece_bytes, reads):
        yield


@contextlib.contextmanager
def open_each(
    address: str,
    requests: Sequence[bytes],
    piece_bytes: int = READ_BYTES,
    reads: bool = True,
) -> Iterator[None]:
    """Connect a client for each of these requests; else like ``open_clients``."""
    clients: list[HostileClient] = []
    try:
        for data in requests:
            with contextlib.suppress(OSError):
                clients.append(HostileClient(address, data, piece_bytes, reads))
        send_all(clients)
        yield
    finally:
        for client in clients:
            client.socket.close()


def send_all(clients: list[HostileClient]) -> None:
    """Let the clients send in turns until all are done or nobody can send."""
    end_s = time.monotonic() + MAX_SEND_S
    quiet_since_s = time.monotonic()
    with selectors.DefaultSelector() as selector:
        for client in clients:
            selector.register(client.socket, selectors.EVENT_WRITE, client)
        while selector.get_map():
            ready = selector.select(SELECT_S)
            now_s = time.monotonic()
            if ready:
                quiet_since_s = now_s
            if now_s > end_s or now_s - quiet_since_s > QUIET_S:
                return
            for key, _ in ready:
                if not key.data.advance():
                    selector.unregister(key.fileobj)
