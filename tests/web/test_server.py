"""Tests of the HTTP server over loopback: bounds, order, leaving."""

from __future__ import annotations

import re
import socket
import threading
import time
from typing import TYPE_CHECKING

import pytest

from sardineferry.loop import IoLoop
from sardineferry.web import Exchange
from sardineferry.web import HttpLimits
from sardineferry.web import HttpRequest
from sardineferry.web import HttpServer
from sardineferry.web import json_reply
from tests.loops import run_for
from tests.loops import run_until

if TYPE_CHECKING:
    from collections.abc import Callable

LIMITS = HttpLimits(
    header_bytes=400,
    body_bytes=1_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.8,
    connections=20,
)


class Handler:
    """Answers paths: /now at once, /wait when released, /bad never."""

    def __init__(self) -> None:
        self.waiting: list[Exchange] = []
        self.seen: list[HttpRequest] = []
        self.gone: list[str] = []

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        self.seen.append(request)
        if request.path == "/bad":
            raise ValueError("planted")
        if request.path == "/wait":
            exchange.gone = lambda: self.gone.append(request.path)
            self.waiting.append(exchange)
            return
        exchange.answer(json_reply(200, {"path": request.path}, 1_200))


class Fixture:
    """A server on a loop of its own."""

    def __init__(self) -> None:
        self.loop = IoLoop()
        self.handler = Handler()
        self.server = HttpServer(self.loop, "127.0.0.1:0", self.handler.handle, LIMITS)
        self.server.start()

    def connect(self) -> Client:
        return Client(self.loop, self.server.port)


class Client:
    """A caller whose bytes are collected while the loop runs."""

    def __init__(self, loop: IoLoop, port: int) -> None:
        self.loop = loop
        self.socket = socket.create_connection(("127.0.0.1", port), 5)
        self.socket.setblocking(False)
        self.data = b""
        self.closed = False

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def poll(self) -> None:
        try:
            piece = self.socket.recv(65_536)
        except BlockingIOError:
            return
        except ConnectionResetError:
            piece = b""
        self.data += piece
        self.closed = self.closed or not piece

    def wait(self, holds: Callable[[], object]) -> None:
        def check() -> object:
            self.poll()
            return holds()

        run_until(self.loop, check)

    def statuses(self) -> list[int]:
        return [int(text) for text in re.findall(rb"HTTP/1\.1 (\d{3}) ", self.data)]


@pytest.fixture
def served() -> Fixture:
    return Fixture()


def get(path: str, extra: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{extra}\r\n".encode()


def test_reply_has_length_date_and_whole_seconds_of_retry_after(
    served: Fixture,
) -> None:
    client = served.connect()
    client.send(get("/now"))
    client.wait(lambda: b"/now" in client.data)
    head, _, body = client.data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"Retry-After: 2" in head
    assert b"Date: " in head
    assert f"Content-Length: {len(body)}".encode() in head
    assert not client.closed


def test_requests_sent_ahead_are_answered_in_order(served: Fixture) -> None:
    client = served.connect()
    client.send(get("/wait") + get("/now") + get("/other"))
    run_until(served.loop, lambda: served.handler.waiting)
    assert len(served.handler.seen) == 1
    served.handler.waiting[0].answer(json_reply(503, {"path": "/wait"}))
    client.wait(lambda: b"/other" in client.data)
    assert client.statuses() == [503, 200, 200]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (get("/now", f"X: {'y' * 500}\r\n"), 431),
        (b"GET /now HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 700, 431),
        (b"GET /" + b"y" * 700 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3e9\r\n" + b"y" * 1_001 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"\x00\x01\x02\x03\r\n\r\n", 400),
        (b"GET\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (get("/now", "Connection: Upgrade\r\nUpgrade: websocket\r\n"), 200),
        (get("/now") * 40, None),
    ],
)
def test_bad_request_ends_its_connection_alone(
    served: Fixture, data: bytes, status: int | None
) -> None:
    bad, good = served.connect(), served.connect()
    bad.send(data)
    if status is not None:
        bad.wait(lambda: bad.closed)
        assert bad.statuses() == [status]
    good.send(get("/now"))
    good.wait(lambda: good.statuses() == [200])


@pytest.mark.parametrize(
    ("sent", "statuses", "within_s"),
    [
        (b"", [], 1.8),
        (b"GET /now HT", [408], 1.2),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", [408], 1.8),
    ],
)
def test_stalled_callers_are_closed_in_time(
    served: Fixture, sent: bytes, statuses: list[int], within_s: float
) -> None:
    client = served.connect()
    client.send(sent)
    began_s = time.monotonic()
    client.wait(lambda: client.closed)
    assert client.statuses() == statuses
    assert time.monotonic() - began_s < within_s


def test_header_timeout_is_not_extended_by_single_bytes(served: Fixture) -> None:
    client = served.connect()
    began_s = time.monotonic()
    client.send(b"GET /now HTTP/1.1\r\nX: ")

    def drip() -> None:
        if not client.closed:
            client.socket.send(b"y")
            served.loop.call_later(0.05, drip)

    drip()
    client.wait(lambda: client.closed)
    assert client.statuses() == [408]
    assert time.monotonic() - began_s < 1.2


def test_caller_that_waits_for_its_handler_is_not_timed_out(
    served: Fixture,
) -> None:
    client = served.connect()
    client.send(get("/wait"))
    run_for(served.loop, 1.6)
    served.handler.waiting[0].answer(json_reply(200, {}))
    client.wait(lambda: client.statuses() == [200])


@pytest.mark.parametrize("reset", [False, True])
def test_handler_learns_that_its_caller_left(served: Fixture, reset: bool) -> None:
    client = served.connect()
    client.send(get("/wait"))
    run_until(served.loop, lambda: served.handler.waiting)
    if reset:
        linger = b"\1\0\0\0\0\0\0\0"
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.socket.close()
    run_until(served.loop, lambda: served.handler.gone)
    # An answer that comes later goes nowhere.
    served.handler.waiting[0].answer(json_reply(200, {}))
    assert served.handler.gone == ["/wait"]


def test_defect_in_the_handler_costs_one_request(served: Fixture) -> None:
    client = served.connect()
    client.send(get("/bad") + get("/now"))
    client.wait(lambda: len(client.statuses()) == 2)
    assert client.statuses() == [500, 200]


def test_leaving_server_answers_and_closes_connections(served: Fixture) -> None:
    client = served.connect()
    client.send(get("/now"))
    client.wait(lambda: client.statuses() == [200])
    served.server.leave()
    client.send(get("/now"))
    client.wait(lambda: client.closed)
    assert client.statuses() == [200, 200]
    assert client.data.count(b"Connection: close") == 1


@pytest.mark.parametrize(
    "request_text",
    [get("/now", "Connection: close\r\n"), b"GET /now HTTP/1.0\r\nHost: x\r\n\r\n"],
)
def test_connection_closes_as_its_caller_asks(
    served: Fixture, request_text: bytes
) -> None:
    client = served.connect()
    client.send(request_text)
    client.wait(lambda: client.closed)
    assert client.statuses() == [200]


def test_body_is_announced_with_continue(served: Fixture) -> None:
    client = served.connect()
    head = "Expect: 100-continue\r\nContent-Length: 3\r\n"
    client.send(get("/now", head).replace(b"GET", b"POST"))
    client.wait(lambda: client.statuses() == [100])
    client.send(b"abc")
    client.wait(lambda: client.statuses() == [100, 200])
    assert served.handler.seen[0].body == b"abc"


def test_connections_beyond_the_limit_are_refused_at_once(served: Fixture) -> None:
    held = [served.connect() for _ in range(LIMITS.connections)]
    run_until(served.loop, lambda: len(served.server.connections) == len(held))
    extra = served.connect()
    extra.wait(lambda: extra.closed)
    assert extra.statuses() == [503]
    held[0].send(get("/now"))
    held[0].wait(lambda: held[0].statuses() == [200])


def test_many_held_requests_take_no_threads(served: Fixture) -> None:
    before = set(threading.enumerate())
    clients = [served.connect() for _ in range(LIMITS.connections)]
    for client in clients:
        client.send(get("/wait"))
    run_until(served.loop, lambda: len(served.handler.waiting) == len(clients))
    assert set(threading.enumerate()) <= before


def test_applied_limits_bound_requests_to_come(served: Fixture) -> None:
    client = served.connect()
    served.server.limits = LIMITS._replace(header_bytes=60)
    client.send(get("/now", "X-Long: " + "x" * 60 + "\r\n"))
    client.wait(lambda: client.closed)
    assert client.statuses() == [431]
