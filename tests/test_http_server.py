"""Tests of the HTTP server's way of leaving, over loopback."""

from __future__ import annotations

import http.client
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from sardineferry.http_server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

# More callers at once than the threads that a server starts with.
CALLERS = 40


def hello(_environ: WSGIEnvironment, start_response: StartResponse) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "2")])
    return [b"hi"]


def test_leaving_server_answers_and_closes_connections() -> None:
    server = HttpServer(hello, "127.0.0.1:0", 1, 1_000)
    server.start()
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=10)
    connection.request("GET", "/")
    before = connection.getresponse()
    before.read()
    server.leave()
    connection.request("GET", "/")
    after = connection.getresponse()
    after.read()
    server.stop()
    assert (before.status, before.getheader("Connection")) == (200, None)
    assert (after.status, after.getheader("Connection")) == (200, "close")


def test_applied_limits_bound_headers_and_idle_connections() -> None:
    server = HttpServer(hello, "127.0.0.1:0", 1, 1_000)
    server.start()
    server.apply_limits(header_bytes=200, idle_timeout_s=1)
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=20)
    connection.request("GET", "/", headers={"X-Long": "x" * 300})
    assert connection.getresponse().status == 431
    idle = http.client.HTTPConnection("127.0.0.1", server.port, timeout=20)
    idle.connect()
    assert idle.sock is not None
    assert idle.sock.recv(1) == b""
    server.stop()


def test_threads_are_added_while_requests_wait() -> None:
    entered = threading.Barrier(CALLERS + 1)

    def meet(_environ: WSGIEnvironment, respond: StartResponse) -> Iterable[bytes]:
        entered.wait(timeout=10)
        respond("200 OK", [("Content-Length", "0")])
        return [b""]

    def call(port: int) -> int:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
        connection.request("GET", "/")
        return connection.getresponse().status

    server = HttpServer(meet, "127.0.0.1:0", CALLERS, 1_000)
    server.start()
    with ThreadPoolExecutor(CALLERS) as pool:
        answers = [pool.submit(call, server.port) for _ in range(CALLERS)]
        entered.wait(timeout=10)
        statuses = {answer.result() for answer in answers}
    server.stop()
    assert statuses == {200}


def test_threads_stay_within_the_limit() -> None:
    server = HttpServer(hello, "127.0.0.1:0", 3, 1_000)
    assert len(server.server.task_dispatcher.threads) == 3
    server.stop()
