"""Tests of the HTTP server's way of leaving, over loopback."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING

from sardineferry.http_server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment


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
