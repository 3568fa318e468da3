"""A small JSON-over-HTTP base for stand-ins."""

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
    """A request with its JSON body and query."""

    method: str
    parts: tuple[str, ...]
    query: dict[str, int]
    body: Any


class Response(NamedTuple):
    """A status and a JSON body."""

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
        text = environ["wsgi.input"].read()
        query = {
            name: int(values[0])
            for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        parts = tuple(part for part in environ["PATH_INFO"].split("/") if part)
        body = msgspec.json.decode(text) if text else None
        response = self.serve(Request(environ["REQUEST_METHOD"], parts, query, body))
        encoded = msgspec.json.encode(response.body)
        start_response(
            f"{response.status} Status",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(encoded))),
            ],
        )
        return [encoded]
