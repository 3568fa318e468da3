"""An HTTP server whose handlers can respond later without holding a thread."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

import httptools

from sardineferry.clock import now_s
from sardineferry.logs import part_logger
from sardineferry.loop import LISTEN_BACKLOG
from sardineferry.loop import MAX_UNREAD_BYTES
from sardineferry.loop import Acceptor
from sardineferry.loop import ClientGuard
from sardineferry.loop import Connection
from sardineferry.loop.work_allowance import chargeable_pieces
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
# Received bytes are parsed in slices, between which limits are checked: shorter ones
# while a body or head comes in very small pieces, each of which takes a call.
SLICE_BYTES = 4_096
SHORT_SLICE_BYTES = 1_024
# The work of a request that was sent along with an earlier one, in pieces.
PIECES_PER_PIPELINED_REQUEST = 16
# Bodies beyond this size are received with a large buffer: smaller ones fit into one
# window of the small one.
LARGE_BODY_BYTES = 8_192
# The work of a full slice, in pieces. It is not charged for the beginning of a body.
PIECES_PER_BULK_SLICE = 3
FREE_BODY_BYTES = 16_384
# A parsed header takes this much more memory than its text.
HEADER_OVERHEAD_BYTES = 150
# At the limit on connections, those that have stalled for this time make room.
MIN_STALL_S = 1.0
# Closes several at once, and then searches for them again after a delay, because a
# search takes time in proportion to the number of connections.
ROOM_SHARE = 16
ROOM_SEARCH_INTERVAL_S = 0.1
# Connections beyond the limit that may wait for their 503; others are just closed.
MAX_REFUSED_CONNECTIONS = 32
BUSY_RETRY_AFTER_MS = 1_000
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

logger = part_logger("http")


class HttpLimits(NamedTuple):
    """Limits on the sizes and the duration of requests, and on connections.

    ``header_timeout_s`` limits the time from the first byte of a request to the
    end of its headers. ``idle_timeout_s`` limits the time between two pieces of
    a body, and between two requests on a connection. ``request_timeout_s`` limits
    the time from the first byte of a request to its last one. ``backlog`` connections
    may wait to be accepted.
    """

    header_bytes: int = 256 * 1024
    body_bytes: int = 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0
    request_timeout_s: float = 120.0
    connections: int = 1_000
    backlog: int = LISTEN_BACKLOG

    def unread_bytes(self) -> int:
        """Return how much the system may hold for the connections, not read yet.

        Large receive buffers have a limit of their own.
        """
        sockets = self.connections + MAX_REFUSED_CONNECTIONS + self.backlog
        return sockets * MAX_UNREAD_BYTES


class Exchange:
    """A request and the means to respond to it."""

    __slots__ = (
        "close_after",
        "connection",
        "is_done",
        "is_started",
        "on_disconnect",
        "request",
    )

    def __init__(self, connection: CallerConnection, request: HttpRequest) -> None:
        """Set the connection and its complete request."""
        self.connection = connection
        self.request = request
        # Whether to close the connection after the response.
        self.close_after = False
        # Whether the handler has been called, and whether the request is answered.
        self.is_started = False
        self.is_done = False
        # Called if the caller disconnects before the response is sent.
        self.on_disconnect: Callable[[], None] | None = None

    def size(self) -> int:
        """Return about how much memory the request takes."""
        head_bytes = HEADER_OVERHEAD_BYTES * len(self.request.headers)
        return len(self.request.body) + head_bytes

    def release_content(self) -> None:
        """Free headers and body, which the handler has processed."""
        self.request = self.request._replace(headers={}, body=b"")

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
        "account",
        "body",
        "charged_pieces",
        "connection",
        "exchanges",
        "header_bytes",
        "headers",
        "in_body",
        "in_header",
        "is_bulk",
        "is_costly",
        "is_deferred",
        "parser",
        "phase_start_s",
        "pieces",
        "refusal",
        "request_bytes_received",
        "request_ended_in_slice",
        "request_start_s",
        "server",
        "stray_bytes",
        "unparsed",
        "url",
        "waiting_bytes",
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
        # The size of those that are not handled yet.
        self.waiting_bytes = 0
        # The error response to an unacceptable request, sent before closing.
        self.refusal: HttpResponse | None = None
        # When the current wait began: for a request, for the end of its headers,
        # or for the next piece of its body.
        self.phase_start_s = now_s()
        # When the first byte of the current request was received.
        self.request_start_s = self.phase_start_s
        self.in_header = False
        self.in_body = False
        self.request_bytes_received = 0
        self.request_ended_in_slice = False
        # Received bytes that are not parsed yet.
        self.unparsed = memoryview(b"")
        # Whether the connection waits for allowance to parse small pieces.
        self.is_deferred = False
        # Whether the last slice had very small pieces or several requests.
        self.is_costly = False
        # Whether the last slice belonged to a large body.
        self.is_bulk = False
        self.begin_request()
        self.connection = Connection(server.loop, connected_socket, self)
        self.connection.on_flushed = self.handle_flushed
        self.account = server.guard.open_account(self)

    def begin_request(self) -> None:
        """Reset the parsed parts of the previous request."""
        self.url = b""
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.body = bytearray()
        # Calls of the parser for the request, and how many of them were charged.
        self.pieces = 0
        self.charged_pieces = 0
        # Bytes after the headers since the last piece of the body.
        self.stray_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and serve complete requests."""
        if self.refusal is not None:
            return
        if self.in_body:
            self.phase_start_s = now_s()
        elif not self.in_header:
            self.is_costly = False
        # Usually nothing is left, as no input is read while there is.
        rest = bytes(self.unparsed)
        self.unparsed = memoryview(rest + data if rest else data)
        self.parse()

    def parse(self) -> None:
        """Parse received bytes until a request waits for its response.

        Small pieces are left for later passes if this one's allowance is spent.
        """
        guard = self.server.guard
        while self.unparsed and self.may_parse():
            if (self.is_costly or self.is_bulk) and guard.allowance.is_spent():
                self.defer()
                break
            self.parse_slice()
        if self.refusal is not None:
            self.drop_input()
            self.send_refusal()
        self.update_reading()

    def may_parse(self) -> bool:
        """Return whether the next request may be parsed."""
        return not (
            self.refusal is not None
            or self.exchanges
            or self.is_deferred
            or self.connection.closed
            or self.connection.closing
            or self.connection.write_buffer
        )

    def parse_slice(self) -> None:
        """Parse a slice of the received bytes, and check the request's limits."""
        if not self.in_header and not self.in_body:
            self.in_header = True
            self.request_bytes_received = 0
            self.request_start_s = self.phase_start_s = now_s()
        pieces_before = self.pieces
        # The first slice is short, as it may have any number of pieces.
        size = SHORT_SLICE_BYTES
        if self.pieces and not self.is_costly:
            size = SLICE_BYTES
        part, self.unparsed = self.unparsed[:size], self.unparsed[size:]
        self.request_ended_in_slice = False
        body_size = len(self.body)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported: the request is served as usual,
            # and the bytes after it are not parsed.
            self.close_after_last_request()
        except httptools.HttpParserError as error:
            if self.refusal is None:
                self.refuse(json_response(400, {"error": f"bad request: {error}"}))
        if self.request_ended_in_slice:
            # Where the head of the next request begins is not known.
            self.request_bytes_received = 0
        else:
            self.request_bytes_received += len(part)
        limit = self.server.limits.header_bytes
        if self.in_header and self.request_bytes_received > limit:
            self.refuse_headers()
        if self.in_body and len(self.body) == body_size:
            # Only framing or trailers, which the parser collects.
            self.stray_bytes += len(part)
            if self.stray_bytes > limit + SLICE_BYTES:
                self.refuse_headers()
        self.is_bulk = self.in_body and len(self.body) > FREE_BODY_BYTES
        if self.is_bulk:
            self.server.guard.allowance.charge(PIECES_PER_BULK_SLICE)
        self.charge(pieces_before)

    def charge(self, pieces_before: int) -> None:
        """Charge small pieces and pipelined requests to the allowance of the pass."""
        allowance = self.server.guard.allowance
        if self.request_ended_in_slice:
            self.is_costly = bool(self.unparsed) or self.in_header
            if self.is_costly:
                allowance.charge(PIECES_PER_PIPELINED_REQUEST)
            return
        chargeable = chargeable_pieces(self.pieces, len(self.body))
        self.is_costly = chargeable > self.charged_pieces
        if self.is_costly:
            allowance.charge(self.pieces - pieces_before)
            self.charged_pieces = chargeable

    def defer(self) -> None:
        """Parse the rest in a later pass."""
        self.is_deferred = True
        self.server.guard.defer(self.resume_deferred)

    def resume_deferred(self) -> None:
        """Parse the rest, now that there is allowance again."""
        self.is_deferred = False
        if not self.connection.closed:
            self.parse()

    def handle_flushed(self) -> None:
        """Go on, now that the caller has read its answers."""
        self.phase_start_s = now_s()
        if self.exchanges and not self.exchanges[0].is_started:
            self.serve_first()
        self.parse()

    def update_reading(self) -> None:
        """Read only what can be parsed at once; account for what is held.

        Else, input stays in the system's buffers, so that the caller can't send more.
        """
        self.connection.holds_input = bool(
            self.exchanges
            or self.unparsed
            or self.is_deferred
            or self.connection.write_buffer
        )
        if not self.connection.holds_input:
            self.connection.set_paused(False)
            if not self.in_body:
                self.server.guard.restore_buffer(self.account, self.connection)
        self.update_account()

    def update_account(self) -> None:
        """Account for what the connection holds in the byte budget of the process."""
        head_bytes = self.header_bytes + HEADER_OVERHEAD_BYTES * len(self.headers)
        unsent = len(self.connection.write_buffer)
        held = len(self.body) + len(self.unparsed) + self.waiting_bytes + unsent
        if self.in_header or self.in_body:
            held += max(
                head_bytes, min(self.request_bytes_received, self.header_limit())
            )
        has_input = self.in_header or self.in_body or bool(self.unparsed)
        unfinished = unsent > 0 or (has_input and self.refusal is None)
        self.server.guard.hold(self.account, held, unfinished)

    def header_limit(self) -> int:
        """Return the limit on the size of a request's head."""
        return self.server.limits.header_bytes

    def evict(self) -> None:
        """Refuse an incomplete request, as the process's byte budget is exhausted.

        The request was never passed on. A caller that does not read its answers is
        disconnected.
        """
        if self.connection.write_buffer:
            self.close()
            return
        self.refuse(
            json_response(
                503,
                {"error": "not run: no memory for incomplete requests"},
                BUSY_RETRY_AFTER_MS,
            )
        )
        self.drop_input()
        self.send_refusal()

    def drop_input(self) -> None:
        """Free what was received of a request that was refused."""
        self.unparsed = memoryview(b"")
        self.request_bytes_received = 0
        self.begin_request()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.begin_request()
        self.in_header = True

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self.url += url
        self.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or a trailer after the body."""
        if self.refusal is not None:
            return
        self.pieces += 1
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > self.server.limits.header_bytes:
            self.refuse_headers()
            return
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
        if self.refusal is not None:
            return
        self.pieces += 1
        self.stray_bytes = 0
        if len(self.body) + len(piece) > self.server.limits.body_bytes:
            self.refuse_body()
            return
        # Extended in place: the pieces before are not copied.
        self.body += piece
        if len(self.body) > LARGE_BODY_BYTES and not self.account.has_large_buffer:
            self.server.guard.enlarge_buffer(self.account, self.connection)

    def on_message_complete(self) -> None:
        """Queue the request, and serve it if no other one is being served."""
        self.in_header = False
        self.in_body = False
        self.request_ended_in_slice = True
        if self.refusal is not None:
            return
        url = httptools.parse_url(self.url)
        request = HttpRequest(
            self.parser.get_method().decode("latin-1"),
            (url.path or b"/").decode("latin-1"),
            (url.query or b"").decode("latin-1"),
            self.headers,
            bytes(self.body),
        )
        self.begin_request()
        exchange = Exchange(self, request)
        exchange.close_after = not self.parser.should_keep_alive()
        if len(self.exchanges) >= MAX_PIPELINED_REQUESTS:
            self.refuse(json_response(400, {"error": "too many requests ahead"}))
            return
        self.exchanges.append(exchange)
        self.waiting_bytes += exchange.size()
        if len(self.exchanges) == 1 and not self.connection.write_buffer:
            self.serve_first()

    def serve_first(self) -> None:
        """Serve the first request."""
        exchange = self.exchanges[0]
        self.waiting_bytes -= exchange.size()
        exchange.is_started = True
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
        """Send the response to the first request, and go on with the next one."""
        if not self.exchanges or self.exchanges[0] is not exchange:
            return
        close = exchange.close_after or self.server.closing
        self.write(response, close, with_body=exchange.request.method != "HEAD")
        self.exchanges.popleft()
        # What was received meanwhile has waited for this response.
        self.request_start_s = self.phase_start_s = now_s()
        if close:
            self.abandon_exchanges()
            self.close_after_flush()
        elif self.exchanges:
            if not self.connection.write_buffer:
                self.serve_first()
        elif self.refusal is not None:
            self.send_refusal()
        elif self.unparsed:
            self.server.loop.call_soon(self.parse_if_open)
        self.update_reading()

    def parse_if_open(self) -> None:
        """Parse what was received while a request waited, and read on."""
        if not self.connection.closed:
            self.parse()

    def write(self, response: HttpResponse, close: bool, with_body: bool) -> None:
        """Encode and send a response."""
        date = self.server.date()
        self.connection.write(encode_response(response, date, close, with_body))

    def close_after_flush(self) -> None:
        """Close the connection after sending what is buffered."""
        if not self.connection.closing:
            self.phase_start_s = now_s()
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
        self.drop_input()
        self.server.guard.close_account(self.account)
        self.abandon_exchanges()

    def abandon_exchanges(self) -> None:
        """Drop all requests that have no response yet."""
        self.waiting_bytes = 0
        while self.exchanges:
            self.exchanges.popleft().abandon()

    def is_overdue(self, now: float) -> bool:
        """Return whether the caller exceeded a timeout; none limits the handler.

        A caller that has not read all of its answers in time is overdue, too.
        """
        limits = self.server.limits
        silence_s = now - self.phase_start_s
        if self.connection.closing or self.connection.write_buffer:
            return silence_s > limits.idle_timeout_s
        if self.exchanges:
            # While reading is paused, the loop does not report a disconnect.
            return self.connection.paused and self.connection.has_ended()
        has_begun = self.in_header or self.in_body
        if has_begun and now - self.request_start_s > limits.request_timeout_s:
            return True
        if self.is_deferred:
            return False
        limit_s = limits.header_timeout_s if self.in_header else limits.idle_timeout_s
        return silence_s > limit_s

    def close_overdue(self) -> None:
        """Close an overdue connection; if a request has begun, send 408 first."""
        if self.connection.closing or self.connection.write_buffer or self.exchanges:
            self.close()
        elif self.in_header or self.in_body:
            self.server.guard.count_refusal("timeout")
            self.refuse(json_response(408, {"error": "the request took too long"}))
            self.drop_input()
            self.send_refusal()
            self.update_account()
        else:
            self.close_after_flush()

    def stalled_since_s(self) -> float | None:
        """Return since when the caller is silent or slow; None if it must be kept.

        A request counts as slow from the end of the header timeout on. A connection
        on which a complete request waits for its response is kept.
        """
        if self.exchanges or self.is_deferred:
            return None
        since_s = self.account.progress_s
        if self.in_header or self.in_body:
            slow_s = self.request_start_s + self.server.limits.header_timeout_s
            since_s = min(since_s, slow_s)
        return since_s


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    The handler responds with ``Exchange.answer``, at once or later.
    """

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        handle: RequestHandler,
        limits: HttpLimits,
        guard: ClientGuard | None = None,
    ) -> None:
        """Bind ``host:port``; port 0 lets the system choose one.

        All listeners of a process share its ``guard``; without one, the server has
        its own, with no limit on memory.

        Raises:
            AddressError: The address can't be bound.

        """
        self.loop = loop
        self.handle = handle
        self.limits = limits
        self.guard = ClientGuard(loop) if guard is None else guard
        # Until then, no connection can make room for another one.
        self.next_room_search_s = 0.0
        # Whether to close each connection after its next response.
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self.sweeping = False
        self.date_second = 0
        self.date_text = ""
        self.acceptor = Acceptor(loop, address, self.on_accept, limits.backlog)
        self.port = self.acceptor.port

    def start(self) -> None:
        """Start accepting connections."""
        self.acceptor.start()

    def on_accept(self, connected_socket: socket.socket) -> None:
        """Add a connection; if there are too many, close silent ones or refuse it."""
        limit = self.limits.connections
        if len(self.connections) >= limit:
            self.make_room()
        if len(self.connections) >= limit + MAX_REFUSED_CONNECTIONS:
            self.guard.count_refusal("connections")
            connected_socket.close()
            return
        connection = CallerConnection(self, connected_socket)
        self.connections.add(connection)
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        if len(self.connections) > limit:
            self.guard.count_refusal("connections")
            response = json_response(
                503, {"error": "too many connections"}, BUSY_RETRY_AFTER_MS
            )
            connection.refuse(response)
            connection.send_refusal()

    def make_room(self) -> None:
        """Close the connections that have stalled for longest, if for some time.

        Connections with a complete request are kept.
        """
        now = now_s()
        if now < self.next_room_search_s:
            return
        stalled = [
            (since_s, connection)
            for connection in self.connections
            if (since_s := connection.stalled_since_s()) is not None
            and now - since_s >= MIN_STALL_S
        ]
        stalled.sort(key=lambda item: item[0])
        count = max(1, self.limits.connections // ROOM_SHARE)
        if len(stalled) < count:
            self.next_room_search_s = now + ROOM_SEARCH_INTERVAL_S
        for _, connection in stalled[:count]:
            self.guard.count_refusal("stalled")
            connection.close()

    def serve(self, exchange: Exchange) -> None:
        """Call the handler; if it raises, log that and respond with 500."""
        try:
            self.handle(exchange.request, exchange)
        except Exception:
            logger.exception("Request %s failed.", exchange.request.path)
            exchange.answer(json_response(500, {"error": "internal error"}))
        exchange.release_content()

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
