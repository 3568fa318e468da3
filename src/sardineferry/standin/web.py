"""A small HTTP base for stand-ins; bodies are JSON or raw bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

__all__ = ["Request", "Response", "WebStandin"]


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
    """A WSGI application whose behaviour is in ``serve``."""

    def serve(self, request: Request) -> Response:
        """Serve a request.

        Raises:
            NotImplementedError: Subclasses implement it.

        """
        raise NotImplementedError

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Decode, serve and encode."""
        raw = environ["wsgi.input"].read()
        query = {
            name: values[0]
            for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        parts = tuple(part for part in environ["PATH_INFO"].split("/") if part)
        headers = {
            name.removeprefix("HTTP_").replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        request = Request(environ["REQUEST_METHOD"], parts, query, raw, headers)
        response = self.serve(request)
        encoded = (
            response.body
            if isinstance(response.body, bytes)
            else msgspec.json.encode(response.body)
        )
        start_response(
            f"{response.status} Status",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(encoded))),
            ],
        )
        return [encoded]
