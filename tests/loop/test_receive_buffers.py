"""Tests of the receive buffers of accepted connections and their limit."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import pytest

from sardineferry.client_budget import CONNECTION_BYTES
from sardineferry.client_budget import client_budget
from sardineferry.deployment.entry import first_caller_limits
from sardineferry.deployment.entry import max_caller_connections
from sardineferry.loop import MAX_UNREAD_BYTES
from sardineferry.loop import ClientGuard
from sardineferry.loop import IoLoop
from sardineferry.loop.receive_buffers import MAX_SEGMENT_BYTES
from sardineferry.loop.receive_buffers import MAX_UNREAD_LARGE_BYTES
from sardineferry.loop.receive_buffers import LargeBuffers
from sardineferry.loop.receive_buffers import open_listening_socket
from sardineferry.transport import UNREAD_LINK_BYTES
from sardineferry.web import HttpLimits
from sardineferry.web import HttpServer
from sardineferry.web import json_response
from tests.loops import run_until

if TYPE_CHECKING:
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

MIB = 1024 * 1024
BODY_BYTES = 262_144


def count_sendable_bytes(client: socket.socket) -> int:
    """Send until the other end's buffer and the own one are full."""
    client.setblocking(False)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            sent += client.send(b"x" * 65_536)
    return sent


@pytest.mark.parametrize("is_accepted", [False, True])
def test_connection_holds_few_unread_bytes(is_accepted: bool) -> None:
    with (
        open_listening_socket(("127.0.0.1", 0), 4) as listener,
        socket.create_connection(listener.getsockname()) as client,
        contextlib.ExitStack() as accepted,
    ):
        if is_accepted:
            accepted.enter_context(listener.accept()[0])
        count_sendable_bytes(client)
        connected = listener.accept()[0] if not is_accepted else None
        size = (connected or listener).getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert size == MAX_UNREAD_BYTES
        if connected is not None:
            accepted.enter_context(connected)
            assert len(connected.recv(MIB, socket.MSG_PEEK)) <= MAX_UNREAD_BYTES


def test_segments_are_smaller_than_the_small_buffer() -> None:
    """Guards against senders that wait for a window on a loopback interface.

    A body of 256 KiB took 3.4 s.
    """
    with (
        open_listening_socket(("127.0.0.1", 0), 4) as listener,
        socket.create_connection(listener.getsockname()) as client,
    ):
        size = client.getsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG)
        assert size <= MAX_SEGMENT_BYTES


@pytest.mark.parametrize(
    ("limit_bytes", "granted"),
    [(0, 0), (MAX_UNREAD_LARGE_BYTES - 1, 0), (2 * MAX_UNREAD_LARGE_BYTES, 2)],
)
def test_large_buffers_stay_within_their_limit(limit_bytes: int, granted: int) -> None:
    buffers = LargeBuffers(limit_bytes)
    assert [buffers.take() for _ in range(3)].count(True) == granted
    if granted:
        buffers.give_back()
        assert buffers.take()


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize(
    ("buffers", "seen"), [(1, 1), (0, 0)], ids=["granted", "no-memory"]
)
def test_large_body_is_received_with_a_large_buffer(
    is_chunked: bool, buffers: int, seen: int
) -> None:
    """Guards against large bodies that are refused, and buffers that stay large."""
    loop = IoLoop()
    guard = ClientGuard(loop, large_buffers_bytes=buffers * MAX_UNREAD_LARGE_BYTES)
    bodies: list[bytes] = []

    def handle(request: HttpRequest, exchange: Exchange) -> None:
        bodies.append(request.body)
        exchange.answer(json_response(200, {}))

    server = HttpServer(loop, "127.0.0.1:0", handle, HttpLimits(), guard)
    server.start()
    head = f"Content-Length: {BODY_BYTES}\r\n\r\n"
    if is_chunked:
        head = f"Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
    data = memoryview(f"POST / HTTP/1.1\r\nHost: x\r\n{head}".encode() + b"x" * 262_144)
    if is_chunked:
        data = memoryview(bytes(data) + b"\r\n0\r\n\r\n")
    counts: set[int] = set()
    with socket.create_connection(("127.0.0.1", server.port)) as client:
        client.setblocking(False)

        def advance() -> bool:
            nonlocal data
            with contextlib.suppress(BlockingIOError):
                data = data[client.send(data) :]
            counts.add(guard.large_buffers.count)
            return bool(bodies)

        run_until(loop, advance)
        assert bodies == [b"x" * BODY_BYTES]
        assert max(counts) == seen
        assert guard.large_buffers.count == 0


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"),
    [(160, 3_075), (200, 4_100), (300, 4_096), (552, 8_192)],
)
def test_all_that_callers_may_hold_fits_into_the_memory(
    memory_mb: int, descriptors: int
) -> None:
    connections = max_caller_connections(memory_mb, descriptors)
    limits = first_caller_limits(connections)
    unread = limits.unread_bytes() + UNREAD_LINK_BYTES
    budget = client_budget(memory_mb, connections, limits.body_bytes, unread)
    own = 40 * MIB + connections * CONNECTION_BYTES + unread
    assert own + sum(budget) <= 0.8 * memory_mb * MIB
    # Bodies of the largest size, and of large buffers for them.
    assert budget.held_bytes >= 30 * limits.body_bytes
    assert budget.large_buffers_bytes >= 30 * MAX_UNREAD_LARGE_BYTES
