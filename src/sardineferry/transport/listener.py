"""Accepts links: one gRPC stream each, named by its first message."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import grpc

from sardineferry.decision.events import LinkDown
from sardineferry.logs import part_logger
from sardineferry.messages import CodecError
from sardineferry.messages import decode_frame
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.wire import Announce
from sardineferry.messages.wire import PeerHello
from sardineferry.transport.outbox import Outbox
from sardineferry.transport.service import CHANNEL_OPTIONS
from sardineferry.transport.service import METHOD
from sardineferry.transport.service import SERVICE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.mailbox import Mailbox
    from sardineferry.messages import WireMessage
    from sardineferry.transport.registry import LinkRegistry

__all__ = ["Listener", "ListenerError"]

LINK_LIMIT = 1_000
STOP_GRACE_S = 0.2

logger = part_logger("listener")


class ListenerError(Exception):
    """The address can't be listened on."""


class Listener:
    """A gRPC server whose streams feed the core's mailbox."""

    def __init__(self, address: str, mailbox: Mailbox, links: LinkRegistry) -> None:
        """Bind the address; port 0 lets the system choose.

        Raises:
            ListenerError: The address can't be bound.

        """
        self.mailbox = mailbox
        self.links = links
        self.server = grpc.server(
            ThreadPoolExecutor(LINK_LIMIT, thread_name_prefix="link"),
            options=CHANNEL_OPTIONS,
        )
        handler: grpc.RpcMethodHandler[bytes, bytes] = (
            grpc.stream_stream_rpc_method_handler(self.exchange)
        )
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            raise ListenerError(f"cannot listen on {address}") from error

    def start(self) -> None:
        """Accept links."""
        self.server.start()

    def stop(self) -> None:
        """End all links after a grace."""
        self.server.stop(STOP_GRACE_S).wait()

    def exchange(
        self, frames: Iterator[bytes], context: grpc.ServicerContext
    ) -> Iterator[bytes]:
        """Serve one stream: a thread reads it, this generator writes."""
        try:
            messages = decode_frame(next(frames))
            name = name_of(messages)
        except (StopIteration, CodecError) as error:
            logger.warning("Rejected a link: {}.", error)
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        outbox = Outbox()
        outbox.abort = context.cancel
        self.links.open(name, outbox)
        self.mailbox.put_all(messages, name)
        reader = threading.Thread(
            target=self.read, args=(frames, name, outbox), daemon=True
        )
        reader.start()
        logger.info("Link to {} opened.", name)
        try:
            yield from outbox.drain()
        finally:
            self.end(name, outbox)

    def read(self, frames: Iterator[bytes], name: str, outbox: Outbox) -> None:
        """Pass messages on until the stream ends or is replaced."""
        try:
            for frame in frames:
                messages = decode_frame(frame)
                if not self.links.is_current(name, outbox):
                    return
                self.mailbox.put_all(messages, name)
        except CodecError as error:
            logger.warning("Link to {} sent a bad frame: {}.", name, error)
        except grpc.RpcError:
            logger.debug("Link to {} broke.", name)
        except Exception as error:
            # grpcio raises a bare Exception when a client stream breaks.
            logger.debug("Link to {} broke: {}.", name, error)
        finally:
            outbox.close()

    def end(self, name: str, outbox: Outbox) -> None:
        """Report the end of a link that was not replaced."""
        if self.links.close(name, outbox):
            logger.info("Link to {} closed.", name)
            self.mailbox.put(LinkDown(name))


def name_of(messages: list[WireMessage]) -> str:
    """Return the link name that the first message gives.

    Raises:
        CodecError: The first message names nobody.

    """
    first = messages[0] if messages else None
    if isinstance(first, Announce):
        return first.agent
    if isinstance(first, WorkerAnnounce):
        return first.agent
    if isinstance(first, PeerHello):
        return f"entry/{first.entry}"
    raise CodecError("the first message must be an announcement or a greeting")
