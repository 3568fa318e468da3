"""An HTTP client with keep-alive connections that carry one call at a time."""

from __future__ import annotations

from collections import deque
from concurrent.futures import Future
from typing import TYPE_CHECKING

import httptools

from sardineferry.clock import now_s
from sardineferry.logs import part_logger
from sardineferry.loop import Connection
from sardineferry.loop import dial
from sardineferry.web.messages import HttpResult
from sardineferry.web.messages import encode_request

if TYPE_CHECKING:
    import socket

    from sardineferry.loop import IoLoop
    from sardineferry.loop import Timer

__all__ = ["HttpClient"]

# A server that has not accepted by then is down or can't be reached.
CONNECT_TIMEOUT_S = 1.0
# Lower statuses are informational; a final response follows them.
MIN_FINAL_STATUS = 200

logger = part_logger("http")


class PendingCall:
    """A request and the future of its result."""

    __slots__ = ("connection", "due_s", "future", "request_bytes", "timer")

    def __init__(self, request_bytes: bytes, due_s: float) -> None:
        """Create a call that is not sent yet; its result is due at ``due_s``."""
        self.request_bytes = request_bytes
        self.due_s = due_s
        self.future: Future[HttpResult] = Future()
        self.connection: ClientConnection | None = None
        self.timer: Timer | None = None

    def set_result(self, result: HttpResult) -> None:
        """Set the result of the call, once, and cancel its timeout."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.future.done():
            self.future.set_result(result)


class ClientConnection:
    """A keep-alive connection to the server."""

    __slots__ = (
        "body",
        "call",
        "client",
        "connection",
        "has_excess_data",
        "is_open",
        "parser",
        "result",
    )

    def __init__(self, client: HttpClient, connected_socket: socket.socket) -> None:
        """Take over a connected socket.

        Raises:
            OSError: The server has already closed the connection.

        """
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.call: PendingCall | None = None
        self.body = b""
        # The response to the current call once it is complete, and whether the
        # server has sent more than that.
        self.result: HttpResult | None = None
        self.has_excess_data = False
        self.is_open = True
        self.connection = Connection(client.loop, connected_socket, self)

    def send(self, call: PendingCall) -> None:
        """Send the request of a call."""
        self.call = call
        call.connection = self
        self.body = b""
        self.connection.write(call.request_bytes)

    def data_received(self, data: bytes) -> None:
        """Parse a piece of the response."""
        if self.call is None:
            self.fail("a response without a request")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.result is None:
                self.fail(f"bad answer: {error}")
                return
            self.has_excess_data = True
        if self.result is not None:
            self.finish_call(self.result)

    def on_message_begin(self) -> None:
        """Note whether this begins a second response to the same request."""
        self.has_excess_data = self.result is not None

    def on_body(self, piece: bytes) -> None:
        """Add a piece of the body."""
        self.body += piece

    def on_message_complete(self) -> None:
        """Keep the final response; skip informational ones."""
        status = self.parser.get_status_code()
        if status >= MIN_FINAL_STATUS and self.result is None:
            self.result = HttpResult(status, self.body)
            if not self.parser.should_keep_alive():
                self.close()

    def finish_call(self, result: HttpResult) -> None:
        """Set the result of the call, and use the connection for the next one.

        If the server has sent more than one response, the connection is closed
        instead: the excess could be taken for the response to the next call.
        """
        call, self.call = self.call, None
        self.result = None
        self.body = b""
        if self.has_excess_data:
            self.close()
        if call is not None:
            call.set_result(result)
        self.client.on_connection_free(self)

    def input_ended(self, reason: str) -> None:
        """Fail the current call: the server has closed the connection, or it failed."""
        self.fail(reason or "connection closed")

    def fail(self, reason: str) -> None:
        """Close the connection, and fail its current call."""
        self.close()
        call, self.call = self.call, None
        if call is not None:
            call.set_result(HttpResult(0, b"", reason))
        self.client.on_connection_closed(self)

    def close(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        self.connection.close()


class HttpClient:
    """Calls one server; a call that finds no free connection is queued."""

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        max_connections: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Set the server's ``host:port`` and the limit on connections."""
        self.connect_timeout_s = connect_timeout_s
        self.loop = loop
        self.address = address
        self.max_connections = max_connections
        self.connections: list[ClientConnection] = []
        self.dials_in_progress = 0
        self.queue: deque[PendingCall] = deque()

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> Future[HttpResult]:
        """Make a call; the future gets a result after ``timeout_s`` at the latest.

        After a timeout the connection is closed, because a late response could
        be taken for that of the next call.
        """
        call = PendingCall(
            encode_request(method, path, self.address, headers or {}, body),
            now_s() + timeout_s,
        )
        call.timer = self.loop.call_later(timeout_s, lambda: self.expire(call))
        self.queue.append(call)
        self.send_queued()
        return call.future

    def send_queued(self) -> None:
        """Send queued calls on free connections, and open more if needed."""
        self.drop_expired()
        for connection in self.connections:
            if not self.queue:
                return
            if connection.call is None and connection.is_open:
                connection.send(self.queue.popleft())
        allowed_dials = (
            self.max_connections - len(self.connections) - self.dials_in_progress
        )
        for _ in range(min(allowed_dials, len(self.queue) - self.dials_in_progress)):
            self.dials_in_progress += 1
            dial(self.loop, self.address, self.connect_timeout_s, self.on_dialled)

    def on_dialled(self, connected_socket: socket.socket | None, reason: str) -> None:
        """Use a new connection; if dialling failed, fail the first queued call."""
        self.dials_in_progress -= 1
        connection: ClientConnection | None = None
        if connected_socket is not None:
            try:
                connection = ClientConnection(self, connected_socket)
            except OSError as error:
                connected_socket.close()
                reason = str(error)
        if connection is None:
            result = HttpResult(0, b"", f"cannot connect: {reason}", sent=False)
            if self.queue:
                self.queue.popleft().set_result(result)
            if self.queue:
                self.send_queued()
            return
        self.connections.append(connection)
        self.on_connection_free(connection)

    def drop_expired(self) -> None:
        """Fail queued calls whose time is over.

        After a pause of the process, sockets are served before timers: a connection
        that becomes free must not send a call from before the pause.
        """
        now = now_s()
        expired = [call for call in self.queue if now >= call.due_s]
        for call in expired:
            self.expire(call)

    def on_connection_free(self, connection: ClientConnection) -> None:
        """Send the next queued call, unless the connection is closed or in use."""
        self.drop_expired()
        if connection.is_open and connection.call is None and self.queue:
            connection.send(self.queue.popleft())
        elif not connection.is_open:
            self.on_connection_closed(connection)

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection; queued calls may need a new one."""
        if connection in self.connections:
            self.connections.remove(connection)
        if self.queue:
            self.send_queued()

    def expire(self, call: PendingCall) -> None:
        """Time a call out; close its connection if it was sent."""
        if call.connection is not None and call.connection.call is call:
            call.connection.fail("no answer in time")
        elif call in self.queue:
            self.queue.remove(call)
            call.set_result(HttpResult(0, b"", "not sent in time", sent=False))

    def close(self) -> None:
        """Close all connections, and fail the calls on them."""
        for connection in list(self.connections):
            connection.fail("client closed")
