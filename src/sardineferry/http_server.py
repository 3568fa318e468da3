"""Runs a WSGI application on waitress in a thread."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import waitress.server

from sardineferry.logs import part_logger

if TYPE_CHECKING:
    from _typeshed.wsgi import WSGIApplication

__all__ = ["HttpError", "HttpServer"]

BACKLOG = 1_024

logger = part_logger("http")


class HttpError(Exception):
    """The address can't be listened on."""


class HttpServer:
    """A waitress server with a bounded number of threads."""

    def __init__(
        self, application: WSGIApplication, address: str, threads: int, body_limit: int
    ) -> None:
        """Bind the address; port 0 lets the system choose.

        Raises:
            HttpError: The address can't be bound.

        """
        host, _, port = address.rpartition(":")
        try:
            self.server = waitress.server.create_server(
                application,
                host=host,
                port=int(port),
                threads=threads,
                max_request_body_size=body_limit,
                connection_limit=4 * threads + 100,
                backlog=BACKLOG,
                ident=None,
                clear_untrusted_proxy_headers=True,
            )
        except OSError as error:
            raise HttpError(f"cannot listen on {address}: {error}") from error
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

    def stop(self) -> None:
        """Stop accepting and end."""
        self.server.close()
