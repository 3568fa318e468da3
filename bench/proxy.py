"""A loopback proxy that delays, silences, cuts one way or resets connections."""

from __future__ import annotations

import socket
import threading
import time

from sardineferry.loop import split_address

__all__ = ["FaultyProxy"]

CHUNK_BYTES = 64 * 1024
# Between looks whether a direction that is held may go on.
HOLD_STEP_S = 0.01


class FaultyProxy:
    """Passes connections on to a target, with the faults that are set.

    ``delay_s`` holds each piece that long; ``hold_up`` and ``hold_down`` stop
    the direction to or from the target, as a cut does: nothing is lost, and
    nothing arrives until it heals or the connection is given up.
    """

    def __init__(self, address: str, target: str) -> None:
        """Listen; connections are taken from now on."""
        self.target = target
        self.delay_s = 0.0
        self.hold_up = False
        self.hold_down = False
        self.open: set[socket.socket] = set()
        self.listener = socket.create_server(split_address(address), backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Pair each connection with one to the target."""
        while True:
            try:
                near, _peer = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(split_address(self.target), 5.0)
            except OSError:
                reset(near)
                continue
            far.settimeout(None)
            self.open |= {near, far}
            for source, sink, up in ((near, far, True), (far, near, False)):
                pump = threading.Thread(
                    target=self.pump, args=(source, sink, up), daemon=True
                )
                pump.start()

    def pump(self, source: socket.socket, sink: socket.socket, up: bool) -> None:
        """Pass bytes on in one direction until it ends."""
        try:
            while piece := source.recv(CHUNK_BYTES):
                time.sleep(self.delay_s)
                while self.hold_up if up else self.hold_down:
                    time.sleep(HOLD_STEP_S)
                sink.sendall(piece)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Either end broke: so does the other one.
            reset(source)
            reset(sink)
        self.open -= {source, sink}

    def reset_all(self) -> None:
        """Break every open connection."""
        for connection in list(self.open):
            reset(connection)

    def close(self) -> None:
        """Take no more connections, and break those that are open."""
        self.listener.close()
        self.reset_all()


def reset(connection: socket.socket) -> None:
    """Break a connection, which wakes the thread that reads it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It is broken already.
        return
