"""The HTTP server of the stand-ins; bodies are JSON or raw bytes."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec

from sardineferry.loop import IoLoop
from sardineferry.web import HttpLimits
from sardineferry.web import HttpResponse
from sardineferry.web import HttpServer
from sardineferry.web import json_response

if TYPE_CHECKING:
    from sardineferry.web import Exchange
    from sardineferry.web import HttpRequest

__all__ = ["Request", "Response", "StandinServer", "WebStandin"]

SERVER_LIMITS = HttpLimits(body_bytes=16 * 1024 * 1024, connections=4_000)


class Request(NamedTuple):
    """A request; its body is decoded each time it is read."""

    method: str
    path_parts: tuple[str, ...]
    query: dict[str, str]
    raw_body: bytes
    headers: dict[str, str]

    @property
    def body(self) -> Any:
        """The body decoded from JSON, or None if it is empty."""
        return msgspec.json.decode(self.raw_body) if self.raw_body else None


class Response(NamedTuple):
    """A status and a body, which is JSON unless it is bytes."""

    status: int
    body: object


class WebStandin:
    """The base class of stand-ins, which implement ``serve``."""

    def serve(self, request: Request) -> Response:
        """Serve a request; may block, as it runs in a thread of a pool.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError


class StandinServer:
    """Serves a stand-in over HTTP, each request in a thread of a pool."""

    def __init__(self, standin: WebStandin, address: str, threads: int) -> None:
        """Bind the address; port 0 means any free port.

        Raises:
            AddressError: The address can't be bound.

        """
        self.standin = standin
        self.loop = IoLoop()
        self.pool = ThreadPoolExecutor(threads)
        self.http_server = HttpServer(self.loop, address, self.handle, SERVER_LIMITS)
        self.port = self.http_server.port
        self.http_server.start()

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve a request in a thread of the pool."""
        future = self.pool.submit(self.serve, request)
        future.add_done_callback(
            lambda done: self.loop.post(lambda: exchange.answer(done.result()))
        )

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Decode a request, let the stand-in serve it and encode its response."""
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        path_parts = tuple(part for part in request.path.split("/") if part)
        response = self.standin.serve(
            Request(request.method, path_parts, query, request.body, request.headers)
        )
        if isinstance(response.body, bytes):
            return HttpResponse(response.status, response.body)
        return json_response(response.status, response.body)

    def run(self) -> None:
        """Serve until ``stop`` is called."""
        self.loop.run()

    def start(self) -> None:
        """Serve in a thread of its own, until ``stop`` is called."""
        threading.Thread(target=self.run, daemon=True).start()

    def stop(self) -> None:
        """Stop serving; the pool's threads may run until the process ends."""
        self.loop.post(self.http_server.stop)
        self.loop.post(self.loop.stop)
        self.pool.shutdown(wait=False)
