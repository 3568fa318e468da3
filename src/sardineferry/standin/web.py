"""A small HTTP base for stand-ins; bodies are JSON or raw bytes."""

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

LIMITS = HttpLimits(body_bytes=16 * 1024 * 1024, connections=4_000)


class Request(NamedTuple):
    """A request; its body is decoded when asked for."""

    method: str
    parts: tuple[str, ...]
    text_query: dict[str, str]
    raw: bytes
    headers: dict[str, str]

    @property
    def body(self) -> Any:
        """The body as JSON; None without a body."""
        return msgspec.json.decode(self.raw) if self.raw else None


class Response(NamedTuple):
    """A status and a body, which is JSON unless it is bytes."""

    status: int
    body: object


class WebStandin:
    """Something whose behaviour is in ``serve``, which may wait."""

    def serve(self, request: Request) -> Response:
        """Serve a request.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError


class StandinServer:
    """Serves a stand-in over HTTP; requests that wait take a thread each."""

    def __init__(self, standin: WebStandin, address: str, threads: int) -> None:
        """Bind the address; port 0 lets the system choose.

        Raises:
            AddressError: The address can't be bound.

        """
        self.standin = standin
        self.loop = IoLoop()
        self.pool = ThreadPoolExecutor(threads)
        self.http = HttpServer(self.loop, address, self.handle, LIMITS)
        self.port = self.http.port
        self.http.start()

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve a request in a thread of the pool."""
        serving = self.pool.submit(self.serve, request)
        serving.add_done_callback(
            lambda done: self.loop.post(lambda: exchange.answer(done.result()))
        )

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Decode, serve and encode."""
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        parts = tuple(part for part in request.path.split("/") if part)
        response = self.standin.serve(
            Request(request.method, parts, query, request.body, request.headers)
        )
        if isinstance(response.body, bytes):
            return HttpResponse(response.status, response.body)
        return json_response(response.status, response.body)

    def run(self) -> None:
        """Serve until stopped."""
        self.loop.run()

    def start(self) -> None:
        """Serve in a thread."""
        threading.Thread(target=self.run, daemon=True).start()

    def stop(self) -> None:
        """End the loop; the pool's threads end with the process."""
        self.loop.post(self.http.stop)
        self.loop.post(self.loop.stop)
        self.pool.shutdown(wait=False)
