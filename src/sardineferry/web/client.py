"""An HTTP client with kept connections, one call at a time on each."""

from __future__ import annotations

from collections import deque
from concurrent.futures import Future
from typing import TYPE_CHECKING

import httptools

from sardineferry.logs import part_logger
from sardineferry.loop import Connection
from sardineferry.loop import dial
from sardineferry.web.messages import HttpAnswer
from sardineferry.web.messages import request_bytes

if TYPE_CHECKING:
    import socket

    from sardineferry.loop import IoLoop
    from sardineferry.loop import Timer

__all__ = ["HttpClient"]

# A server that does not answer by then is away, or behind a cut.
CONNECT_TIMEOUT_S = 1.0
# Informational answers, after which the final one follows.
FINAL_STATUS = 200

logger = part_logger("http")


class Call:
    """One request and what becomes of it."""

    __slots__ = ("data", "future", "line", "timer")

    def __init__(self, data: bytes) -> None:
        """Begin unsent."""
        self.data = data
        self.future: Future[HttpAnswer] = Future()
        self.line: ClientConnection | None = None
        self.timer: Timer | None = None

    def settle(self, answer: HttpAnswer) -> None:
        """Tell the answer, once."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.future.done():
            self.future.set_result(answer)


class ClientConnection:
    """One connection to the server."""

    __slots__ = (
        "answer",
        "body",
        "call",
        "client",
        "connection",
        "is_open",
        "parser",
        "surplus",
    )

    def __init__(self, client: HttpClient, connected_socket: socket.socket) -> None:
        """Take a connected socket.

        Raises:
            OSError: The connection is gone already.

        """
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.call: Call | None = None
        self.body = b""
        # The answer that has just been read, and whether more followed it.
        self.answer: HttpAnswer | None = None
        self.surplus = False
        self.is_open = True
        self.connection = Connection(client.loop, connected_socket, self)

    def send(self, call: Call) -> None:
        """Send a request."""
        self.call = call
        call.line = self
        self.body = b""
        self.connection.write(call.data)

    def data_received(self, data: bytes) -> None:
        """Parse an answer."""
        if self.call is None:
            self.fail("an answer that nobody waits for")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.answer is None:
                self.fail(f"bad answer: {error}")
                return
            self.surplus = True
        if self.answer is not None:
            self.settle(self.answer)

    def on_message_begin(self) -> None:
        """Notice what no request asked for."""
        self.surplus = self.answer is not None

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        self.body += piece

    def on_message_complete(self) -> None:
        """Keep the final answer."""
        status = self.parser.get_status_code()
        if status >= FINAL_STATUS and self.answer is None:
            self.answer = HttpAnswer(status, self.body)
            if not self.parser.should_keep_alive():
                self.shut()

    def settle(self, answer: HttpAnswer) -> None:
        """Settle the call; the connection is free for the next one.

        One on which more came than was asked for is closed, lest it be taken
        for the answer to the next call.
        """
        call, self.call = self.call, None
        self.answer = None
        self.body = b""
        if self.surplus:
            self.shut()
        if call is not None:
            call.settle(answer)
        self.client.line_free(self)

    def input_ended(self, reason: str) -> None:
        """Give up what was under way."""
        self.fail(reason or "connection closed")

    def fail(self, reason: str) -> None:
        """Close; the present call has no answer."""
        self.shut()
        call, self.call = self.call, None
        if call is not None:
            call.settle(HttpAnswer(0, b"", reason))
        self.client.line_gone(self)

    def shut(self) -> None:
        """Close the connection."""
        self.is_open = False
        self.connection.close()


class HttpClient:
    """Calls one server; a bounded number at once, the others in turn."""

    def __init__(
        self,
        loop: IoLoop,
        address: str,
        width: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Name the ``host:port`` and how many connections there may be."""
        self.connect_timeout_s = connect_timeout_s
        self.loop = loop
        self.address = address
        self.width = width
        self.lines: list[ClientConnection] = []
        self.dialling = 0
        self.queue: deque[Call] = deque()

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> Future[HttpAnswer]:
        """Make one call within a time limit in seconds.

        A connection without an answer is closed: nothing more may come on it.
        """
        call = Call(request_bytes(method, path, self.address, headers or {}, body))
        call.timer = self.loop.call_later(timeout_s, lambda: self.expire(call))
        self.queue.append(call)
        self.send_waiting()
        return call.future

    def send_waiting(self) -> None:
        """Send what waits, as far as connections are free."""
        for line in self.lines:
            if not self.queue:
                return
            if line.call is None and line.is_open:
                line.send(self.queue.popleft())
        room = self.width - len(self.lines) - self.dialling
        for _ in range(min(room, len(self.queue) - self.dialling)):
            self.dialling += 1
            dial(self.loop, self.address, self.connect_timeout_s, self.connected)

    def connected(self, connection: socket.socket | None, reason: str) -> None:
        """Use a new connection; without one the first call that waits fails."""
        self.dialling -= 1
        line: ClientConnection | None = None
        if connection is not None:
            try:
                line = ClientConnection(self, connection)
            except OSError as error:
                connection.close()
                reason = str(error)
        if line is None:
            refused = HttpAnswer(0, b"", f"cannot connect: {reason}", sent=False)
            if self.queue:
                self.queue.popleft().settle(refused)
            if self.queue:
                self.send_waiting()
            return
        self.lines.append(line)
        self.line_free(line)

    def line_free(self, line: ClientConnection) -> None:
        """Send the next call on a connection."""
        if line.is_open and line.call is None and self.queue:
            line.send(self.queue.popleft())
        elif not line.is_open:
            self.line_gone(line)

    def line_gone(self, line: ClientConnection) -> None:
        """Forget a connection; what waits needs another one."""
        if line in self.lines:
            self.lines.remove(line)
        if self.queue:
            self.send_waiting()

    def expire(self, call: Call) -> None:
        """Give a call up, with its connection if it was sent."""
        if call.line is not None and call.line.call is call:
            call.line.fail("no answer in time")
        elif call in self.queue:
            self.queue.remove(call)
            call.settle(HttpAnswer(0, b"", "not sent in time", sent=False))

    def close(self) -> None:
        """Close all connections."""
        for line in list(self.lines):
            line.fail("client closed")
