"""An HTTP server whose handlers can respond later without holding a thread."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from sardineferry.clock import now_s
from sardineferry.logs import part_logger
from sardineferry.loop import Acceptor
from sardineferry.loop import Connection
from sardineferry.web.messages import HttpRequest
from sardineferry.web.messages import HttpResponse
from sardineferry.web.messages import encode_response
from sardineferry.web.messages import json_response

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from sardineferry.loop import IoLoop

    RequestHandler = Callable[[HttpRequest, "Exchange"], None]

__all__ = ["Exchange", "HttpLimits", "HttpServer"]

# Interval between searches for connections that have timed out; a quarter of the
# shortest timeout that is used.
SWEEP_INTERVAL_S = 0.5
# Limit on the unanswered requests of one connection: the one being served and those
# that the caller has sent without waiting for its response.
MAX_PIPELINED_REQUESTS = 16
BUSY_RETRY_AFTER_MS = 1_000
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

logger = part_logger("http")


class HttpLimits(NamedTuple):
    """Limits on the sizes and the duration of requests, and on connections.

    ``header_timeout_s`` limits the time from the first byte of a request to the
    end of its headers. ``idle_timeout_s`` limits the time between two pieces of
    a body, and between two requests on a connection.
    """

    header_bytes: int = 256 * 1024
    body_bytes: int = 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0
    connections: int = 1_000


class Exchange:
    """A request and the means to respond to it."""

    __slots__ = ("close_after", "connection", "is_done", "on_disconnect", "request")

    def __init__(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Set the connection and its complete request."""
        self.connection = connection
        self.request = request
        # Whether to close the connection after the response.
        self.close_after = False
        self.is_done = False
        # Called if the caller disconnects before the response is sent.
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, response: HttpResponse) -> None:
        """Send the response; ignored after a first one or a disconnect."""
        if not self.is_done:
            self.is_done = True
            self.connection.answer(self, response)

    def caller_has_left(self) -> bool:
        """Return whether the caller has closed the connection, even if just now.

        If the request was read late, this is known before ``on_disconnect`` is called.
        """
        return self.is_done or self.connection.connection.has_ended()

    def abandon(self) -> None:
        """Drop the request, and notify its handler that the caller has left."""
        if not self.is_done:
            self.is_done = True
            if self.on_disconnect is not None:
                self.on_disconnect()


class CallerConnection:
    """A caller's connection; its requests are served one after the other."""

    __slots__ = (
        "body",
        "connection",
        "exchanges",
        "header_bytes",
        "headers",
        "in_body",
        "in_header",
        "parser",
        "phase_start_s",
        "refusal",
        "request_bytes_received",
        "server",
        "url",
    )

    def __init__(self, server: HttpServer, connected_socket: socket.socket) -> None:
        """Take over an accepted socket.

        Raises:
            OSError: The caller has already closed the connection.

        """
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        # Complete requests without a response; the first one is being handled.
        self.exchanges: deque[Exchange] = deque()
        # The error response to an unacceptable request, sent before closing.
        self.refusal: HttpResponse | None = None
        # When the current wait began: for a request, for the end of its headers,
        # or for the next piece of its body.
        self.phase_start_s = now_s()
        self.in_header = False
        self.in_body = False
        self.request_bytes_received = 0
        self.begin_request()
        self.connection = Connection(server.loop, connected_socket, self)

    def begin_request(self) -> None:
        """Reset the parsed parts of the previous request."""
        self.url = b""
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.body = b""

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and serve complete requests."""
        if not self.in_header and not self.in_body:
            self.in_header = True
            self.request_bytes_received = 0
            self.phase_start_s = now_s()
        self.request_bytes_received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported: the request is served as usual,
            # and the bytes after it are not parsed.
            self.close_after_last_request()
        except httptools.HttpParserError as error:
            if self.refusal is None:
                self.refuse(json_response(400, {"error": f"bad request: {error}"}))
        if (
            self.in_header
            and self.request_bytes_received > self.server.limits.header_bytes
        ):
            self.refuse_headers()
        if self.in_body:
            self.phase_start_s = now_s()
        if self.refusal is not None:
            self.send_refusal()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.begin_request()
        self.in_header = True

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self.url += url
        self.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.header_bytes += len(name) + len(value)
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check the size limits before the body is read."""
        self.in_header = False
        self.in_body = True
        limits = self.server.limits
        if self.header_bytes > limits.header_bytes:
            self.refuse_headers()
        length = self.headers.get("content-length", "0")
        if length.isdecimal() and int(length) > limits.body_bytes:
            self.refuse_body()
        if "100-continue" in self.headers.get("expect", "").lower():
            self.connection.write(CONTINUE_RESPONSE)

    def on_body(self, piece: bytes) -> None:
        """Add a piece of the body."""
        self.body += piece
        if len(self.body) > self.server.limits.body_bytes:
            self.refuse_body()

    def on_message_complete(self) -> None:
        """Queue the request, and serve it if no other one is being served."""
        self.in_header = False
        self.in_body = False
        if self.refusal is not None:
            return
        url = httptools.parse_url(self.url)
        request = HttpRequest(
            self.parser.get_method().decode("latin-1"),
            (url.path or b"/").decode("latin-1"),
            (url.query or b"").decode("latin-1"),
            self.headers,
            self.body,
        )
        exchange = Exchange(self, request)
        exchange.close_after = not self.parser.should_keep_alive()
        if len(self.exchanges) >= MAX_PIPELINED_REQUESTS:
            self.refuse(json_response(400, {"error": "too many requests ahead"}))
            return
        self.exchanges.append(exchange)
        if len(self.exchanges) == 1:
            self.server.serve(exchange)

    def close_after_last_request(self) -> None:
        """Close the connection after the last request received."""
        if self.exchanges:
            self.exchanges[-1].close_after = True
        else:
            self.close_after_flush()

    def refuse_headers(self) -> None:
        """Refuse a request whose headers exceed the limit."""
        limit = self.server.limits.header_bytes
        self.refuse(json_response(431, {"error": f"headers exceed {limit} bytes"}))

    def refuse_body(self) -> None:
        """Refuse a request whose body exceeds the limit."""
        limit = self.server.limits.body_bytes
        self.refuse(json_response(413, {"error": f"body exceeds {limit} bytes"}))

    def refuse(self, response: HttpResponse) -> None:
        """Set the error response to an unacceptable request, unless one is set."""
        if self.refusal is None:
            self.refusal = response

    def send_refusal(self) -> None:
        """Send the error response and close, once earlier requests are answered."""
        if self.refusal is None or self.exchanges:
            return
        self.write(self.refusal, close=True, with_body=True)
        self.close_after_flush()

    def answer(self, exchange: Exchange, response: HttpResponse) -> None:
        """Send the response to the first request, and serve the next one."""
        if not self.exchanges or self.exchanges[0] is not exchange:
            return
        close = exchange.close_after or self.server.closing
        self.write(response, close, with_body=exchange.request.method != "HEAD")
        self.exchanges.popleft()
        self.phase_start_s = now_s()
        if close:
            self.abandon_exchanges()
            self.close_after_flush()
        elif self.exchanges:
            self.server.serve(self.exchanges[0])
        elif self.refusal is not None:
            self.send_refusal()

    def write(self, response: HttpResponse, close: bool, with_body: bool) -> None:
        """Encode and send a response."""
        date = self.server.date()
        self.connection.write(encode_response(response, date, close, with_body))

    def close_after_flush(self) -> None:
        """Close the connection after sending what is buffered."""
        self.connection.close_after_flush()

    def input_ended(self, reason: str) -> None:
        """Close the connection: the caller has closed it, or it failed."""
        if reason:
            logger.debug("A caller's connection failed: %s.", reason)
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self.connection.close()
        self.server.connections.discard(self)
        self.abandon_exchanges()

    def abandon_exchanges(self) -> None:
        """Drop all requests that have no response yet."""
        while self.exchanges:
            self.exchanges.popleft().abandon()

    def is_overdue(self, now: float) -> bool:
        """Return whether the caller exceeded a timeout; none limits the handler."""
        if self.exchanges:
            return False
        limits = self.server.limits
        limit_s = limits.header_timeout_s if self.in_header else limits.idle_timeout_s
        return now - self.phase_start_s > limit_s

    def close_overdue(self) -> None:
        """Close an overdue connection; if a request has begun, send 408 first."""
        if self.connection.closing:
            return
        if self.in_header or self.in_body:
            self.refuse(json_response(408, {"error": "the request took too long"}))
            self.send_refusal()
        else:
            self.close_after_flush()


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    The handler responds with ``Exchange.answer``, at once or later.
    """

    def __init__(
        self, loop: IoLoop, address: str, handle: RequestHandler, limits: HttpLimits
    ) -> None:
        """Bind ``host:port``; port 0 lets the system choose one.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.handle = handle
        self.limits = limits
        # Whether to close each connection after its next response.
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self.sweeping = False
        self.date_second = 0
        self.date_text = ""
        self.acceptor = Acceptor(loop, address, self.on_accept)
        self.port = self.acceptor.port

    def start(self) -> None:
        """Start accepting connections."""
        self.acceptor.start()

    def on_accept(self, connected_socket: socket.socket) -> None:
        """Add a connection, or refuse it with 503 if there are too many."""
        connection = CallerConnection(self, connected_socket)
        self.connections.add(connection)
        if len(self.connections) > self.limits.connections:
            response = json_response(
                503, {"error": "too many connections"}, BUSY_RETRY_AFTER_MS
            )
            connection.refuse(response)
            connection.send_refusal()
            return
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def serve(self, exchange: Exchange) -> None:
        """Call the handler; if it raises, log that and respond with 500."""
        try:
            self.handle(exchange.request, exchange)
        except Exception:
            logger.exception("Request %s failed.", exchange.request.path)
            exchange.answer(json_response(500, {"error": "internal error"}))

    def sweep(self) -> None:
        """Close overdue connections; repeat while there are connections."""
        now = now_s()
        for connection in list(self.connections):
            if connection.is_overdue(now):
                connection.close_overdue()
        if self.connections:
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        else:
            self.sweeping = False

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        self.closing = True

    def stop(self) -> None:
        """Stop accepting, and close all connections after sending what is buffered."""
        self.acceptor.stop()
        for connection in list(self.connections):
            connection.close_after_flush()

    def date(self) -> str:
        """Return the value of the Date header, formatted once a second."""
        second = int(time.time())
        if second != self.date_second:
            self.date_second = second
            self.date_text = time.strftime(
                "%a, %d %b %Y %H:%M:%S GMT", time.gmtime(second)
            )
        return self.date_text
