"""Generated heads and framings, cut into pieces, against the HTTP server.

Whatever a connection sends, the server goes on, frees what the connection held once it
is closed, and answers the next ordinary request.
"""

from __future__ import annotations

import contextlib
import logging
import socket
from itertools import pairwise
from typing import TYPE_CHECKING

import hypothesis.strategies as st
from hypothesis import given
from hypothesis import settings

from sardineferry.logs import ROOT_LOGGER
from sardineferry.loop import ClientGuard
from sardineferry.loop import IoLoop
from sardineferry.web import HttpLimits
from sardineferry.web import HttpServer
from sardineferry.web import json_response
from tests.loops import run_until

if TYPE_CHECKING:
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

BUDGET_BYTES = 60_000
LIMITS = HttpLimits(header_bytes=1_000, body_bytes=20_000, connections=20)
ORDINARY = b"GET /now HTTP/1.1\r\nHost: x\r\n\r\n"

HEADERS = st.lists(
    st.one_of(
        st.sampled_from(
            [
                b"Content-Length: 5",
                b"Content-Length: -1",
                b"Content-Length: 99999999999999999999",
                b"Content-Length: 15000",
                b"Transfer-Encoding: chunked",
                b"Transfer-Encoding: chunked, chunked",
                b"Expect: 100-continue",
                b"Connection: close",
                b"Connection: upgrade",
                b"Upgrade: h2c",
                b"X: " + b"y" * 1_200,
                b"no colon",
            ]
        ),
        st.binary(max_size=30),
    ),
    max_size=4,
)
CHUNKS = st.lists(
    st.one_of(
        st.sampled_from(
            [b"1\r\nx\r\n", b"0\r\n\r\n", b"0\r\nT: 1\r\n\r\n", b"ffffffffffffffff\r\n"]
        ),
        st.integers(1, 12_000).map(lambda size: b"%x\r\n%b\r\n" % (size, b"x" * size)),
    ),
    max_size=8,
).map(b"".join)
BODIES = st.one_of(
    st.just(b""), st.just(b"12345"), st.just(b"x" * 15_000), CHUNKS, st.binary()
)
METHODS = st.sampled_from([b"GET", b"POST", b"HEAD", b"CONNECT", b"PRI", b"x"])
REQUESTS = st.builds(
    lambda method, headers, body: (
        method + b" /now HTTP/1.1\r\nHost: x\r\n" + b"\r\n".join([*headers, b"", body])
    ),
    METHODS,
    HEADERS,
    BODIES,
)


class CollectingHandler(logging.Handler):
    """Collects log records, such as those of handlers that failed."""

    def __init__(self, level: int) -> None:
        super().__init__(level)
        self.records: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record.getMessage())


class Server:
    """A server on its own loop, which answers each request at once."""

    def __init__(self) -> None:
        self.loop = IoLoop()
        self.guard = ClientGuard(self.loop, BUDGET_BYTES, pieces_per_pass=8)
        self.http = HttpServer(
            self.loop, "127.0.0.1:0", self.handle, LIMITS, self.guard
        )
        self.http.start()

    def handle(self, _request: HttpRequest, exchange: Exchange) -> None:
        exchange.answer(json_response(200, {}))

    def connect(self) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", self.http.port))
        client.setblocking(False)
        return client

    def send(self, client: socket.socket, pieces: list[bytes]) -> None:
        """Send pieces, each in a pass of its own, as long as the server reads."""
        for piece in pieces:
            with contextlib.suppress(OSError):
                client.send(piece)
            self.loop.call_soon(lambda: None)
            self.loop.run_once()
            assert self.guard.budget.held_bytes <= BUDGET_BYTES

    def check_ordinary_request(self) -> None:
        received = b""
        with self.connect() as client:
            client.send(ORDINARY)

            def is_answered() -> bool:
                nonlocal received
                with contextlib.suppress(BlockingIOError):
                    received += client.recv(4_096)
                return received.startswith(b"HTTP/1.1 200 ")

            run_until(self.loop, is_answered)


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    """Cut bytes at some places, which are taken modulo their number."""
    places = sorted({0, len(data), *(place % (len(data) + 1) for place in cuts)})
    return [data[start:end] for start, end in pairwise(places)]


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    requests=st.lists(REQUESTS, min_size=1, max_size=3).map(b"".join),
    cuts=st.lists(st.integers(0, 10**6), max_size=8),
)
def test_any_request_leaves_the_server_as_it_was(
    requests: bytes, cuts: list[int]
) -> None:
    handler = CollectingHandler(logging.ERROR)
    logger = logging.getLogger(ROOT_LOGGER)
    logger.addHandler(handler)
    server = Server()
    try:
        with server.connect() as client:
            server.send(client, cut(requests, cuts))
            server.check_ordinary_request()
        run_until(server.loop, lambda: not server.http.connections)
    finally:
        logger.removeHandler(handler)
        server.http.acceptor.stop()
    assert handler.records == []
    assert (server.guard.budget.held_bytes, server.guard.large_buffers.count) == (0, 0)
