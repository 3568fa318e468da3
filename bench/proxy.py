"""A loopback proxy that can slow, delay, block (also one way) or reset connections."""

from __future__ import annotations

import socket
import threading
import time

from sardineferry.loop import split_address

__all__ = ["FaultyProxy"]

MAX_CHUNK_BYTES = 64 * 1024
# The largest chunk while the rate is limited, so that bytes flow evenly.
LIMITED_CHUNK_BYTES = 2 * 1024
# Time between checks whether a blocked direction is open again.
BLOCKED_POLL_S = 0.01


class FaultyProxy:
    """Forwards connections to a target, with the faults that are set.

    ``delay_s`` delays each chunk. ``bytes_per_s`` limits the rate of each direction of
    a connection; 0 sets no limit. ``block_to_target`` and ``block_from_target``
    block one direction, like a network partition: no bytes are lost, but none
    arrive until the block is lifted or the connection is closed.

    ``rewrites`` maps bytes that clients send to others of the same length, as a
    network that translates addresses does.
    """

    def __init__(
        self,
        address: str,
        target_address: str,
        rewrites: dict[bytes, bytes] | None = None,
    ) -> None:
        """Listen, and accept connections in a thread."""
        self.target_address = target_address
        self.rewrites = rewrites or {}
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.block_to_target = False
        self.block_from_target = False
        self.open_connections: set[socket.socket] = set()
        # The other side and the first bytes of each client that has sent any.
        self.greetings: dict[socket.socket, tuple[socket.socket, bytes]] = {}
        self.listener = socket.create_server(split_address(address), backlog=256)
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        """Open a connection to the target for each client, and forward both ways."""
        while True:
            try:
                client_side, _peer = self.listener.accept()
            except OSError:
                return
            try:
                target_side = socket.create_connection(
                    split_address(self.target_address), 5.0
                )
            except OSError:
                reset(client_side)
                continue
            target_side.settimeout(None)
            self.open_connections |= {client_side, target_side}
            for source, destination, to_target in (
                (client_side, target_side, True),
                (target_side, client_side, False),
            ):
                forward_thread = threading.Thread(
                    target=self.forward_bytes,
                    args=(source, destination, to_target),
                    daemon=True,
                )
                forward_thread.start()

    def forward_bytes(
        self, source: socket.socket, destination: socket.socket, to_target: bool
    ) -> None:
        """Forward bytes in one direction until the connection ends."""
        try:
            while chunk := source.recv(
                LIMITED_CHUNK_BYTES if self.bytes_per_s else MAX_CHUNK_BYTES
            ):
                if to_target:
                    self.greetings.setdefault(source, (destination, chunk))
                    for old, new in self.rewrites.items():
                        chunk = chunk.replace(old, new)
                time.sleep(self.delay_s)
                if self.bytes_per_s:
                    time.sleep(len(chunk) / self.bytes_per_s)
                while self.block_to_target if to_target else self.block_from_target:
                    time.sleep(BLOCKED_POLL_S)
                destination.sendall(chunk)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            # One side broke, so reset the other one, too.
            reset(source)
            reset(destination)
        self.open_connections -= {source, destination}
        if to_target:
            self.greetings.pop(source, None)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for connection in list(self.open_connections):
            reset(connection)

    def reset_greeted(self, marker: bytes) -> None:
        """Reset the connections whose client has sent the marker first."""
        for client_side, (target_side, greeting) in list(self.greetings.items()):
            if marker in greeting:
                reset(client_side)
                reset(target_side)

    def close(self) -> None:
        """Stop accepting connections, and reset those that are open."""
        self.listener.close()
        self.reset_all()


def reset(connection: socket.socket) -> None:
    """Shut a connection down, which wakes the thread that reads from it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It is not connected any more.
        return
