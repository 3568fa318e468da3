"""An HTTP server whose requests may wait for their replies without a thread."""

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
from sardineferry.web.messages import HttpReply
from sardineferry.web.messages import HttpRequest
from sardineferry.web.messages import json_reply
from sardineferry.web.messages import reply_bytes

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from sardineferry.loop import IoLoop

    Handle = Callable[[HttpRequest, "Exchange"], None]

__all__ = ["Exchange", "HttpLimits", "HttpServer"]

# Between looks for connections whose time is over; a quarter of the shortest
# time limit in use.
SWEEP_S = 0.5
# Requests that a caller may send ahead of the replies on one connection.
PIPELINE_LIMIT = 16
BUSY_RETRY_MS = 1_000
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

logger = part_logger("http")


class HttpLimits(NamedTuple):
    """Bounds on what callers send, and on how many they are.

    ``header_timeout_s`` runs from a request's first byte to the end of its
    headers, ``idle_timeout_s`` from one piece of a body to the next, and
    between requests.
    """

    header_bytes: int = 256 * 1024
    body_bytes: int = 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0
    connections: int = 1_000


class Exchange:
    """One request and the reply that it is owed."""

    __slots__ = ("caller", "close", "gone", "is_over", "request")

    def __init__(self, caller: CallerConnection, request: HttpRequest) -> None:
        """Begin with a whole request."""
        self.caller = caller
        self.request = request
        # The connection ends with the reply.
        self.close = False
        self.is_over = False
        # Called if the caller leaves before the reply.
        self.gone: Callable[[], None] | None = None

    def answer(self, reply: HttpReply) -> None:
        """Reply, once; a caller that has left gets nothing."""
        if not self.is_over:
            self.is_over = True
            self.caller.answer(self, reply)

    def abandon(self) -> None:
        """Note that the caller has left."""
        if not self.is_over:
            self.is_over = True
            if self.gone is not None:
                self.gone()


class CallerConnection:
    """One connection of a caller; requests are served one after the other."""

    __slots__ = (
        "body",
        "connection",
        "exchanges",
        "header_bytes",
        "headers",
        "in_body",
        "in_header",
        "parser",
        "raw_bytes",
        "refusal",
        "server",
        "since_s",
        "url",
    )

    def __init__(self, server: HttpServer, connected_socket: socket.socket) -> None:
        """Take an accepted socket.

        Raises:
            OSError: The connection is gone already.

        """
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        # Requests that are whole, the first one with the handler.
        self.exchanges: deque[Exchange] = deque()
        self.refusal: HttpReply | None = None
        # When the present phase began: idle, headers, or a piece of a body.
        self.since_s = now_s()
        self.in_header = False
        self.in_body = False
        self.raw_bytes = 0
        self.begin_request()
        self.connection = Connection(server.loop, connected_socket, self)

    def begin_request(self) -> None:
        """Forget the request before."""
        self.url = b""
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.body = b""

    def data_received(self, data: bytes) -> None:
        """Parse what has come, and serve what is whole."""
        if not self.in_header and not self.in_body:
            self.in_header = True
            self.raw_bytes = 0
            self.since_s = now_s()
        self.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not offered: the request is served as it is, and
            # what follows it can't be read.
            self.end_with_last()
        except httptools.HttpParserError as error:
            if self.refusal is None:
                self.refuse(json_reply(400, {"error": f"bad request: {error}"}))
        if self.in_header and self.raw_bytes > self.server.limits.header_bytes:
            self.refuse_headers()
        if self.in_body:
            self.since_s = now_s()
        if self.refusal is not None:
            self.send_refusal()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.begin_request()
        self.in_header = True

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self.url += url
        self.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.header_bytes += len(name) + len(value)
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check bounds before the body is read."""
        self.in_header = False
        self.in_body = True
        limits = self.server.limits
        if self.header_bytes > limits.header_bytes:
            self.refuse_headers()
        length = self.headers.get("content-length", "0")
        if length.isdecimal() and int(length) > limits.body_bytes:
            self.refuse_body()
        if "100-continue" in self.headers.get("expect", "").lower():
            self.connection.write(CONTINUE)

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        self.body += piece
        if len(self.body) > self.server.limits.body_bytes:
            self.refuse_body()

    def on_message_complete(self) -> None:
        """Serve the request, after those before it."""
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
        exchange.close = not self.parser.should_keep_alive()
        if len(self.exchanges) >= PIPELINE_LIMIT:
            self.refuse(json_reply(400, {"error": "too many requests ahead"}))
            return
        self.exchanges.append(exchange)
        if len(self.exchanges) == 1:
            self.server.serve(exchange)

    def end_with_last(self) -> None:
        """Close after the last request that came."""
        if self.exchanges:
            self.exchanges[-1].close = True
        else:
            self.leave()

    def refuse_headers(self) -> None:
        """Refuse a request whose headers are too long."""
        limit = self.server.limits.header_bytes
        self.refuse(json_reply(431, {"error": f"headers exceed {limit} bytes"}))

    def refuse_body(self) -> None:
        """Refuse a request whose body is too long."""
        limit = self.server.limits.body_bytes
        self.refuse(json_reply(413, {"error": f"body exceeds {limit} bytes"}))

    def refuse(self, reply: HttpReply) -> None:
        """Refuse a request that can't be read; the first reason counts."""
        if self.refusal is None:
            self.refusal = reply

    def send_refusal(self) -> None:
        """Reply to a request that can't be read, and close."""
        if self.refusal is None or self.exchanges:
            # Requests before it are answered first.
            return
        self.write(self.refusal, close=True, with_body=True)
        self.leave()

    def answer(self, exchange: Exchange, reply: HttpReply) -> None:
        """Send a reply, and serve the next request."""
        if not self.exchanges or self.exchanges[0] is not exchange:
            return
        close = exchange.close or self.server.leaving
        self.write(reply, close, with_body=exchange.request.method != "HEAD")
        self.exchanges.popleft()
        self.since_s = now_s()
        if close:
            self.abandon_all()
            self.leave()
        elif self.exchanges:
            self.server.serve(self.exchanges[0])
        elif self.refusal is not None:
            self.send_refusal()

    def write(self, reply: HttpReply, close: bool, with_body: bool) -> None:
        """Send a reply."""
        date = self.server.date()
        self.connection.write(reply_bytes(reply, date, close, with_body))

    def leave(self) -> None:
        """Close after what is on its way."""
        self.connection.close_after_flush()

    def input_ended(self, reason: str) -> None:
        """Note that the caller has left."""
        if reason:
            logger.debug("A caller's connection broke: %s.", reason)
        self.close()

    def close(self) -> None:
        """Close at once."""
        self.connection.close()
        self.server.callers.discard(self)
        self.abandon_all()

    def abandon_all(self) -> None:
        """Tell handlers that nobody waits any more."""
        while self.exchanges:
            self.exchanges.popleft().abandon()

    def is_overdue(self, now: float) -> bool:
        """Tell whether the caller took too long; a handler may take its time."""
        if self.exchanges:
            return False
        limits = self.server.limits
        limit_s = limits.header_timeout_s if self.in_header else limits.idle_timeout_s
        return now - self.since_s > limit_s

    def give_up(self) -> None:
        """Close an overdue connection, with a word if it is within a request."""
        if self.connection.closing:
            return
        if self.in_header or self.in_body:
            self.refuse(json_reply(408, {"error": "the request took too long"}))
            self.send_refusal()
        else:
            self.leave()


class HttpServer:
    """Accepts callers and hands their requests to a handler.

    The handler answers the exchange, at once or later.
    """

    def __init__(
        self, loop: IoLoop, address: str, handle: Handle, limits: HttpLimits
    ) -> None:
        """Bind the address; port 0 lets the system choose.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.handle = handle
        self.limits = limits
        self.leaving = False
        self.callers: set[CallerConnection] = set()
        self.sweeping = False
        self.date_second = 0
        self.date_text = ""
        self.acceptor = Acceptor(loop, address, self.accept)
        self.port = self.acceptor.port

    def start(self) -> None:
        """Accept callers."""
        self.acceptor.start()

    def accept(self, connection: socket.socket) -> None:
        """Take a caller, or refuse one that is too many at once."""
        caller = CallerConnection(self, connection)
        self.callers.add(caller)
        if len(self.callers) > self.limits.connections:
            reply = json_reply(503, {"error": "too many connections"}, BUSY_RETRY_MS)
            caller.refuse(reply)
            caller.send_refusal()
            return
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP_S, self.sweep)

    def serve(self, exchange: Exchange) -> None:
        """Hand a request to the handler; a defect there costs this one alone."""
        try:
            self.handle(exchange.request, exchange)
        except Exception:
            logger.exception("Request %s failed.", exchange.request.path)
            exchange.answer(json_reply(500, {"error": "internal error"}))

    def sweep(self) -> None:
        """Close connections whose time is over, while there are any."""
        now = now_s()
        for caller in list(self.callers):
            if caller.is_overdue(now):
                caller.give_up()
        if self.callers:
            self.loop.call_later(SWEEP_S, self.sweep)
        else:
            self.sweeping = False

    def leave(self) -> None:
        """Close each connection with its next reply."""
        self.leaving = True

    def stop(self) -> None:
        """Accept nobody any more, and close what is open."""
        self.acceptor.stop()
        for caller in list(self.callers):
            caller.leave()

    def date(self) -> str:
        """Return the time of day for the Date header."""
        second = int(time.time())
        if second != self.date_second:
            self.date_second = second
            self.date_text = time.strftime(
                "%a, %d %b %Y %H:%M:%S GMT", time.gmtime(second)
            )
        return self.date_text
