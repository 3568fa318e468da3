"""Requests, replies and answers of HTTP."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

__all__ = [
    "HttpAnswer",
    "HttpReply",
    "HttpRequest",
    "json_reply",
    "reply_bytes",
    "request_bytes",
]

MS_PER_S = 1_000
JSON = (("Content-Type", "application/json"),)

REASONS = {
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
    """A request to a server; names of headers are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class HttpReply(NamedTuple):
    """What a server replies."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = JSON


class HttpAnswer(NamedTuple):
    """What a client got; status 0 if there was no answer.

    ``sent`` is false if no byte of the request can have reached the server.
    """

    status: int
    body: bytes
    reason: str = ""
    sent: bool = True


def json_reply(status: int, body: object, retry_after_ms: int = 0) -> HttpReply:
    """Return a reply with a JSON body.

    Retry-After holds whole seconds, rounded up.
    """
    headers: tuple[tuple[str, str], ...] = JSON
    if retry_after_ms > 0:
        seconds = -(-retry_after_ms // MS_PER_S)
        headers = (*JSON, ("Retry-After", str(seconds)))
    return HttpReply(status, msgspec.json.encode(body), headers)


def reply_bytes(reply: HttpReply, date: str, close: bool, with_body: bool) -> bytes:
    """Return a reply as it is sent."""
    lines = [f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    lines += [f"Content-Length: {len(reply.body)}", f"Date: {date}"]
    if close:
        lines.append("Connection: close")
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    return head + reply.body if with_body else head


def request_bytes(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Return a request as it is sent."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + (body or b"")
