"""Runs a WSGI application on waitress in a thread."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import waitress.channel
import waitress.server
import waitress.task

from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from _typeshed.wsgi import WSGIApplication

__all__ = ["HttpError", "HttpServer"]

BACKLOG = 1_024
# Connections without traffic are closed after this.
IDLE_TIMEOUT_S = 120
HEADER_LIMIT_BYTES = 256 * 1024
# Between looks for idle connections.
CLEANUP_INTERVAL_S = 5
# Threads that a server starts at once: 200 would take 40 ms of its start.
FIRST_THREADS = 8
# Threads that are added when none is idle.
MORE_THREADS = 8

logger = part_logger("http")


class HttpError(Exception):
    """The address can't be listened on."""


class GrowingDispatcher(waitress.task.ThreadedTaskDispatcher):
    """Adds threads, up to a limit, as requests find none idle."""

    def __init__(self, limit: int) -> None:
        """Start the first threads."""
        super().__init__()
        self.limit = limit
        self.set_thread_count(min(FIRST_THREADS, limit))

    def add_task(self, task: waitress.task.Task) -> None:
        """Queue a request."""
        with self.lock:
            count = len(self.threads) - self.stop_count
            busy = self.active_count + len(self.queue) >= count
        if busy and count < self.limit:
            self.set_thread_count(min(self.limit, count + MORE_THREADS))
        super().add_task(task)


class ClosingTask(waitress.task.WSGITask):
    """Answers a request, with the last word on its connection."""

    def build_response_header(self) -> bytes:
        """Ask the caller to close the connection while the server leaves."""
        if self.channel.server.leaving:  # type: ignore[attr-defined]
            self.set_close_on_finish()
        header: bytes = super().build_response_header()
        return header


class ClosingChannel(waitress.channel.HTTPChannel):
    """A connection whose answers are given by closing tasks."""

    task_class = ClosingTask


class HttpServer:
    """A waitress server with a bounded number of threads."""

    def __init__(
        self,
        application: WSGIApplication,
        address: str,
        threads: int,
        body_limit: int,
        *,
        watch_callers: bool = False,
        idle_timeout_s: int = IDLE_TIMEOUT_S,
        header_limit: int = HEADER_LIMIT_BYTES,
    ) -> None:
        """Bind the address; port 0 lets the system choose.

        ``watch_callers`` lets an application learn that a caller has closed
        its connection while it waits.

        Raises:
            HttpError: The address can't be bound.

        """
        host, _, port = address.rpartition(":")
        try:
            self.server = waitress.server.create_server(
                application,
                host=host,
                port=int(port),
                _dispatcher=GrowingDispatcher(threads),
                max_request_body_size=body_limit,
                connection_limit=4 * threads + 100,
                backlog=BACKLOG,
                ident=None,
                clear_untrusted_proxy_headers=True,
                # Reads one request ahead, which shows a closed connection.
                channel_request_lookahead=int(watch_callers),
                channel_timeout=idle_timeout_s,
                cleanup_interval=CLEANUP_INTERVAL_S,
                max_request_header_size=header_limit,
                # select() can't serve descriptors above 1,023.
                asyncore_use_poll=True,
            )
        except OSError as error:
            raise HttpError(f"cannot listen on {address}: {error}") from error
        self.server.leaving = False  # type: ignore[union-attr]
        self.server.channel_class = ClosingChannel  # type: ignore[union-attr]
        self.port: int = self.server.effective_port  # type: ignore[union-attr]
        self.thread = threading.Thread(target=self.run, name="http", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def run(self) -> None:
        """Serve until closed."""
        try:
            self.server.run()
        except OSError as error:
            logger.debug("HTTP server ended: {}.", error)

    def apply_limits(self, header_bytes: int, idle_timeout_s: int) -> None:
        """Bound the headers of requests to come, and idle connections."""
        self.server.adj.max_request_header_size = header_bytes
        self.server.adj.channel_timeout = idle_timeout_s

    def leave(self) -> None:
        """Close each connection with its next answer."""
        self.server.leaving = True  # type: ignore[union-attr]

    def stop(self) -> None:
        """Stop accepting and end."""
        self.server.close()
