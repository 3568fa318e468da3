"""Tests the faults of the proxy on connections to an echo server."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

import pytest
from bench.fleet import HOST
from bench.fleet import find_free_ports
from bench.proxy import FaultyProxy

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 5.0
REWRITES = {b"10.0.0.1:4000": b"10.0.0.1:5000"}


def echo_all(listener: socket.socket) -> None:
    """Send each client's bytes back, until the listener is closed."""
    while True:
        try:
            connection, _peer = listener.accept()
        except OSError:
            return
        threading.Thread(target=echo, args=(connection,), daemon=True).start()


def echo(connection: socket.socket) -> None:
    """Send bytes back until the other end closes the connection."""
    with connection:
        while chunk := connection.recv(1_024):
            connection.sendall(chunk)


@pytest.fixture
def proxy_address() -> Iterator[tuple[FaultyProxy, tuple[str, int]]]:
    listener = socket.create_server((HOST, 0))
    threading.Thread(target=echo_all, args=(listener,), daemon=True).start()
    (port,) = find_free_ports(1)
    target = f"{HOST}:{listener.getsockname()[1]}"
    proxy = FaultyProxy(f"{HOST}:{port}", target, REWRITES)
    yield proxy, (HOST, port)
    proxy.close()
    listener.close()


def exchange(connection: socket.socket, sent: bytes) -> bytes:
    """Send bytes, and return what comes back; nothing if the connection broke."""
    try:
        connection.sendall(sent)
        return connection.recv(1_024)
    except OSError:
        return b""


@pytest.mark.parametrize(
    ("sent", "received"),
    [
        (b"hello", b"hello"),
        (b"at 10.0.0.1:4000.", b"at 10.0.0.1:5000."),
        (b"at 10.0.0.1:5000.", b"at 10.0.0.1:5000."),
    ],
)
def test_proxy_forwards_and_rewrites(
    proxy_address: tuple[FaultyProxy, tuple[str, int]], sent: bytes, received: bytes
) -> None:
    _, address = proxy_address
    with socket.create_connection(address, TIMEOUT_S) as connection:
        assert exchange(connection, sent) == received


@pytest.mark.parametrize(
    ("marker", "kept"), [(b"one", {b"two"}), (b"two", {b"one"}), (b"", set())]
)
def test_proxy_resets_the_connections_that_began_with_a_marker(
    proxy_address: tuple[FaultyProxy, tuple[str, int]], marker: bytes, kept: set[bytes]
) -> None:
    proxy, address = proxy_address
    greetings = (b"one", b"two")
    connections = {
        greeting: socket.create_connection(address, TIMEOUT_S) for greeting in greetings
    }
    for greeting, connection in connections.items():
        assert exchange(connection, greeting) == greeting
        assert exchange(connection, b"three") == b"three"
    proxy.reset_greeted(marker)
    assert {
        greeting
        for greeting, connection in connections.items()
        if exchange(connection, b"four") == b"four"
    } == kept
    for connection in connections.values():
        connection.close()
