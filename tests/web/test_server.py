"""Tests of the HTTP server: limits, timeouts, pipelining, closing."""

from __future__ import annotations

import contextlib
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
from sardineferry.web import json_response
from tests.loops import run_for
from tests.loops import run_until

if TYPE_CHECKING:
    from collections.abc import Callable

MIB = 1024 * 1024
LIMITS = HttpLimits(
    header_bytes=400,
    body_bytes=1_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.8,
    connections=20,
)


class Handler:
    """Responds at once, but leaves /wait to the test and raises for /bad."""

    def __init__(self) -> None:
        self.waiting: list[Exchange] = []
        self.requests: list[HttpRequest] = []
        self.disconnected_paths: list[str] = []

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        self.requests.append(request)
        if request.path == "/bad":
            raise ValueError("deliberate")
        if request.path == "/wait":
            exchange.on_disconnect = lambda: self.disconnected_paths.append(
                request.path
            )
            self.waiting.append(exchange)
            return
        exchange.answer(json_response(200, {"path": request.path}, 1_200))


class RunningServer:
    """A server that runs on its own loop."""

    def __init__(self) -> None:
        self.loop = IoLoop()
        self.handler = Handler()
        self.server = HttpServer(self.loop, "127.0.0.1:0", self.handler.handle, LIMITS)
        self.server.start()

    def connect(self) -> Client:
        return Client(self.loop, self.server.port)


class Client:
    """A caller that collects the bytes it receives while the loop runs."""

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
            received = self.socket.recv(65_536)
        except BlockingIOError:
            return
        except ConnectionResetError:
            received = b""
        self.data += received
        self.closed = self.closed or not received

    def wait(self, condition: Callable[[], object]) -> None:
        def check() -> object:
            self.poll()
            return condition()

        run_until(self.loop, check)

    def statuses(self) -> list[int]:
        return [int(text) for text in re.findall(rb"HTTP/1\.1 (\d{3}) ", self.data)]


@pytest.fixture
def running() -> RunningServer:
    return RunningServer()


def get(path: str, extra_headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{extra_headers}\r\n".encode()


def test_response_has_length_date_and_rounded_up_retry_after(
    running: RunningServer,
) -> None:
    client = running.connect()
    client.send(get("/now"))
    client.wait(lambda: b"/now" in client.data)
    head, _, body = client.data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"Retry-After: 2" in head
    assert b"Date: " in head
    assert f"Content-Length: {len(body)}".encode() in head
    assert not client.closed


def test_large_bodies_are_parsed_in_turn_with_other_requests() -> None:
    """Guards against a loop that handles nothing else while large bodies arrive."""
    running = RunningServer()
    running.server.limits = LIMITS._replace(body_bytes=MIB)
    guard = running.server.guard
    guard.allowance.pieces_per_pass = guard.allowance.left = 10
    head = f"POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: {MIB}\r\n\r\n".encode()
    large = running.connect()
    large.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MIB)
    pending = memoryview(head + b"x" * MIB)
    deferred = 0
    other = running.connect()
    other.send(get("/now"))

    def advance() -> bool:
        nonlocal pending, deferred
        with contextlib.suppress(BlockingIOError):
            pending = pending[large.socket.send(pending) :]
        deferred = max(deferred, len(guard.deferred))
        return len(running.handler.requests) == 2

    run_until(running.loop, advance)
    assert [request.path for request in running.handler.requests] == ["/now", "/large"]
    assert len(running.handler.requests[1].body) == MIB
    assert deferred == 1


def test_pipelined_requests_are_answered_in_order(running: RunningServer) -> None:
    client = running.connect()
    client.send(get("/wait") + get("/now") + get("/other"))
    run_until(running.loop, lambda: running.handler.waiting)
    assert len(running.handler.requests) == 1
    running.handler.waiting[0].answer(json_response(503, {"path": "/wait"}))
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
def test_bad_request_closes_only_its_connection(
    running: RunningServer, data: bytes, status: int | None
) -> None:
    bad_client, good_client = running.connect(), running.connect()
    bad_client.send(data)
    if status is not None:
        bad_client.wait(lambda: bad_client.closed)
        assert bad_client.statuses() == [status]
    good_client.send(get("/now"))
    good_client.wait(lambda: good_client.statuses() == [200])


@pytest.mark.parametrize(
    ("sent_bytes", "statuses", "within_s"),
    [
        (b"", [], 1.8),
        (b"GET /now HT", [408], 1.2),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", [408], 1.8),
    ],
)
def test_stalled_connections_time_out(
    running: RunningServer, sent_bytes: bytes, statuses: list[int], within_s: float
) -> None:
    client = running.connect()
    client.send(sent_bytes)
    start_s = time.monotonic()
    client.wait(lambda: client.closed)
    assert client.statuses() == statuses
    assert time.monotonic() - start_s < within_s


def test_header_timeout_is_not_extended_by_single_bytes(running: RunningServer) -> None:
    client = running.connect()
    start_s = time.monotonic()
    client.send(b"GET /now HTTP/1.1\r\nX: ")

    def send_byte() -> None:
        if not client.closed:
            client.socket.send(b"y")
            running.loop.call_later(0.05, send_byte)

    send_byte()
    client.wait(lambda: client.closed)
    assert client.statuses() == [408]
    assert time.monotonic() - start_s < 1.2


def test_connection_does_not_time_out_while_handler_works(
    running: RunningServer,
) -> None:
    client = running.connect()
    client.send(get("/wait"))
    run_for(running.loop, 1.6)
    running.handler.waiting[0].answer(json_response(200, {}))
    client.wait(lambda: client.statuses() == [200])


@pytest.mark.parametrize("reset", [False, True])
def test_handler_is_told_of_disconnect(running: RunningServer, reset: bool) -> None:
    client = running.connect()
    client.send(get("/wait"))
    run_until(running.loop, lambda: running.handler.waiting)
    if reset:
        # With a linger time of 0, close() sends a reset.
        linger = b"\1\0\0\0\0\0\0\0"
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.socket.close()
    run_until(running.loop, lambda: running.handler.disconnected_paths)
    # A response after the disconnect is ignored.
    running.handler.waiting[0].answer(json_response(200, {}))
    assert running.handler.disconnected_paths == ["/wait"]


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("requests", [1, 2])
def test_caller_that_left_before_its_request_was_read_is_known_to_have_left(
    running: RunningServer, reset: bool, requests: int
) -> None:
    clients = {leaves: running.connect() for leaves in (False, True)}
    run_for(running.loop, 0.05)
    for leaves, client in clients.items():
        client.send(get(f"/{leaves}") * (requests - 1) + get("/wait"))
        if leaves and reset:
            linger = b"\1\0\0\0\0\0\0\0"
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if leaves:
            client.socket.close()
    found: list[bool] = []

    def handle(request: HttpRequest, exchange: Exchange) -> None:
        if request.path == "/wait":
            found.append(exchange.caller_has_left())
        else:
            exchange.answer(json_response(200, {}))

    running.server.handle = handle
    run_for(running.loop, 0.1)
    # A reset may discard the request before it is read.
    assert sorted(found) in ([False, True], [False] if reset else [False, True])


def test_exception_in_handler_fails_one_request(running: RunningServer) -> None:
    client = running.connect()
    client.send(get("/bad") + get("/now"))
    client.wait(lambda: len(client.statuses()) == 2)
    assert client.statuses() == [500, 200]


def test_closing_server_closes_connections_after_their_response(
    running: RunningServer,
) -> None:
    client = running.connect()
    client.send(get("/now"))
    client.wait(lambda: client.statuses() == [200])
    running.server.close_after_responses()
    client.send(get("/now"))
    client.wait(lambda: client.closed)
    assert client.statuses() == [200, 200]
    assert client.data.count(b"Connection: close") == 1


@pytest.mark.parametrize(
    "request_text",
    [get("/now", "Connection: close\r\n"), b"GET /now HTTP/1.0\r\nHost: x\r\n\r\n"],
)
def test_connection_closes_if_the_request_asks_for_it(
    running: RunningServer, request_text: bytes
) -> None:
    client = running.connect()
    client.send(request_text)
    client.wait(lambda: client.closed)
    assert client.statuses() == [200]


def test_expect_continue_gets_an_interim_response(running: RunningServer) -> None:
    client = running.connect()
    headers = "Expect: 100-continue\r\nContent-Length: 3\r\n"
    client.send(get("/now", headers).replace(b"GET", b"POST"))
    client.wait(lambda: client.statuses() == [100])
    client.send(b"abc")
    client.wait(lambda: client.statuses() == [100, 200])
    assert running.handler.requests[0].body == b"abc"


def test_connections_beyond_the_limit_get_503(running: RunningServer) -> None:
    clients = [running.connect() for _ in range(LIMITS.connections)]
    run_until(running.loop, lambda: len(running.server.connections) == len(clients))
    extra = running.connect()
    extra.wait(lambda: extra.closed)
    assert extra.statuses() == [503]
    clients[0].send(get("/now"))
    clients[0].wait(lambda: clients[0].statuses() == [200])


def test_waiting_requests_start_no_threads(running: RunningServer) -> None:
    before = set(threading.enumerate())
    clients = [running.connect() for _ in range(LIMITS.connections)]
    for client in clients:
        client.send(get("/wait"))
    run_until(running.loop, lambda: len(running.handler.waiting) == len(clients))
    assert set(threading.enumerate()) <= before


def test_changed_limits_apply_to_later_requests(running: RunningServer) -> None:
    client = running.connect()
    running.server.limits = LIMITS._replace(header_bytes=60)
    client.send(get("/now", "X-Long: " + "x" * 60 + "\r\n"))
    client.wait(lambda: client.closed)
    assert client.statuses() == [431]


CHUNKED = b"POST /now HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_body_in_one_byte_chunks_is_served_over_several_passes(
    running: RunningServer,
) -> None:
    """Guards against a pass that handles any number of small chunks at once."""
    client, other = running.connect(), running.connect()
    client.send(CHUNKED + b"1\r\ny\r\n" * 1_000 + b"0\r\n\r\n")
    run_until(running.loop, lambda: running.server.guard.deferred)
    other.send(get("/now"))
    other.wait(lambda: other.statuses() == [200])
    client.wait(lambda: client.statuses() == [200])
    assert [request.method for request in running.handler.requests] == ["GET", "POST"]
    assert running.handler.requests[1].body == b"y" * 1_000


def test_bytes_behind_an_unanswered_request_are_not_read(
    running: RunningServer,
) -> None:
    """Guards against a chunked body without end that grows behind a request."""
    client = running.connect()
    client.send(get("/wait"))
    run_until(running.loop, lambda: running.handler.waiting)
    client.send(CHUNKED + b"64\r\n" + b"y" * 100 + b"\r\n")
    run_for(running.loop, 0.1)
    assert running.server.guard.budget.held_bytes == 0
    running.handler.waiting[0].answer(json_response(200, {}))
    client.send(b"0\r\n\r\n")
    client.wait(lambda: client.statuses() == [200, 200])
    assert running.handler.requests[1].body == b"y" * 100


@pytest.mark.parametrize("data", [CHUNKED, b"GET /now"])
def test_disconnect_behind_an_unanswered_request_is_noticed(
    running: RunningServer, data: bytes
) -> None:
    client = running.connect()
    client.send(get("/wait"))
    run_until(running.loop, lambda: running.handler.waiting)
    client.send(data)
    run_for(running.loop, 0.1)
    client.socket.close()
    run_until(running.loop, lambda: running.handler.disconnected_paths)


def test_whole_request_has_a_deadline(running: RunningServer) -> None:
    """Guards against a sender that never pauses for long and never ends."""
    running.server.limits = LIMITS._replace(request_timeout_s=0.6)
    client = running.connect()
    client.send(CHUNKED)

    def send_chunk() -> None:
        if not client.closed:
            client.socket.send(b"1\r\ny\r\n")
            running.loop.call_later(0.05, send_chunk)

    send_chunk()
    client.wait(lambda: client.closed)
    assert client.statuses() == [408]


@pytest.mark.parametrize(
    "data",
    [
        b"0\r\n" + b"".join(b"n%d: v\r\n" % number for number in range(100)),
        b"0\r\nX: " + b"y" * 9_000,
        b"1;" + b"y" * 9_000,
    ],
    ids=["trailers", "one trailer", "chunk extension"],
)
def test_trailers_and_chunk_extensions_are_limited(
    running: RunningServer, data: bytes
) -> None:
    """Guards against input after the headers that is not part of the body."""
    client = running.connect()
    client.send(CHUNKED + data)
    client.wait(lambda: client.closed)
    assert client.statuses() == [431]


def test_exhausted_budget_refuses_incomplete_requests_only(
    running: RunningServer,
) -> None:
    running.server.guard.budget.limit_bytes = 1_500
    waiting, stopped, later = (running.connect() for _ in range(3))
    head = b"POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n"
    waiting.send(head + b"y" * 900)
    run_until(running.loop, lambda: running.handler.waiting)
    stopped.send(head + b"y" * 800)
    run_for(running.loop, 0.1)
    later.send(head + b"y" * 800)
    stopped.wait(lambda: stopped.closed)
    assert stopped.statuses() == [503]
    assert b"not run" in stopped.data
    later.send(b"y" * 100)
    run_until(running.loop, lambda: len(running.handler.waiting) == 2)
    for exchange in running.handler.waiting:
        exchange.answer(json_response(200, {}))
    waiting.wait(lambda: waiting.statuses() == [200])
    later.wait(lambda: later.statuses() == [200])
    assert running.server.guard.counters == {"clients_refused_memory": 1}


def test_stalled_connections_make_room_at_the_limit(
    running: RunningServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that do nothing and keep others out."""
    monkeypatch.setattr("sardineferry.web.server.MIN_STALL_S", 0.05)
    waiting = running.connect()
    waiting.send(get("/wait"))
    clients = [running.connect() for _ in range(LIMITS.connections - 1)]
    run_until(running.loop, lambda: len(running.server.connections) == 20)
    run_for(running.loop, 0.1)
    extra = running.connect()
    extra.send(get("/now"))
    extra.wait(lambda: extra.statuses() == [200])
    for client in clients:
        client.poll()
    assert any(client.closed for client in clients)
    running.handler.waiting[0].answer(json_response(200, {}))
    waiting.wait(lambda: waiting.statuses() == [200])
