"""HTTP requests and responses, and their encoding."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

__all__ = [
    "HttpRequest",
    "HttpResponse",
    "HttpResult",
    "encode_request",
    "encode_response",
    "json_response",
]

MS_PER_S = 1_000
JSON_HEADERS = (("Content-Type", "application/json"),)

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class HttpRequest(NamedTuple):
    """A received request; the names in ``headers`` are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class HttpResponse(NamedTuple):
    """A server's response to a request."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = JSON_HEADERS


class HttpResult(NamedTuple):
    """The outcome of a client's call: the response, or why there is none.

    Without a response ``status`` is 0 and ``reason`` names the error. ``sent``
    is false only if no byte of the request can have reached the server.
    """

    status: int
    body: bytes
    reason: str = ""
    sent: bool = True


def json_response(status: int, body: object, retry_after_ms: int = 0) -> HttpResponse:
    """Return a response with a JSON body.

    A positive ``retry_after_ms`` adds a Retry-After header, which holds whole
    seconds, rounded up.
    """
    headers: tuple[tuple[str, str], ...] = JSON_HEADERS
    if retry_after_ms > 0:
        seconds = -(-retry_after_ms // MS_PER_S)
        headers = (*JSON_HEADERS, ("Retry-After", str(seconds)))
    return HttpResponse(status, msgspec.json.encode(body), headers)


def encode_response(
    response: HttpResponse, date: str, close: bool, with_body: bool
) -> bytes:
    """Encode a response, without the body if it answers a HEAD request."""
    lines = [
        f"HTTP/1.1 {response.status} {REASON_PHRASES.get(response.status, 'Status')}"
    ]
    lines += [f"{name}: {value}" for name, value in response.headers]
    lines += [f"Content-Length: {len(response.body)}", f"Date: {date}"]
    if close:
        lines.append("Connection: close")
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    return head + response.body if with_body else head


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + (body or b"")
