"""Tests of the loop: timers, defects in handlers, other threads, big writes."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING

import pytest

from sardineferry.clock import now_ms
from sardineferry.clock import now_s
from sardineferry.loop import Acceptor
from sardineferry.loop import AddressError
from sardineferry.loop import Connection
from sardineferry.loop import IoLoop
from sardineferry.loop import dial
from sardineferry.loop.connection import MAX_WRITE_BUFFER_BYTES
from tests.loops import run_until

if TYPE_CHECKING:
    from collections.abc import Callable


class Recorder:
    """An owner that keeps what it gets; ``fail`` makes it raise."""

    def __init__(self, fail: bool = False) -> None:
        self.data = b""
        self.reasons: list[str] = []
        self.fail = fail

    def data_received(self, data: bytes) -> None:
        if self.fail:
            raise ValueError("planted")
        self.data += data

    def input_ended(self, reason: str) -> None:
        self.reasons.append(reason)


@pytest.fixture
def loop() -> IoLoop:
    return IoLoop()


def pair(loop: IoLoop, owner: Recorder) -> tuple[Connection, socket.socket]:
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    near.close()
    far.close()
    listener = socket.create_server(("127.0.0.1", 0))
    far = socket.create_connection(listener.getsockname(), 5)
    near, _ = listener.accept()
    listener.close()
    return Connection(loop, near, owner), far


def test_timers_run_in_order_and_cancelled_ones_never(loop: IoLoop) -> None:
    ran: list[str] = []
    loop.call_later(0.03, lambda: ran.append("later"))
    loop.call_later(0.01, lambda: ran.append("sooner"))
    loop.call_later(0.02, lambda: ran.append("never")).cancel()
    run_until(loop, lambda: len(ran) == 2)
    assert ran == ["sooner", "later"]


def fail() -> None:
    raise ValueError("planted")


class FailingTurn:
    """A turn that always raises."""

    def turn(self) -> None:
        fail()

    def wait_s(self) -> float:
        return 0.01


@pytest.mark.parametrize(
    "plant",
    [
        lambda loop: loop.call_later(0, fail),
        lambda loop: loop.post(fail),
        lambda loop: loop.call_soon(fail),
        lambda loop: loop.turns.append(FailingTurn()),
    ],
)
def test_defect_in_one_handler_does_not_end_the_loop(
    loop: IoLoop, plant: Callable[[IoLoop], None]
) -> None:
    ran: list[bool] = []
    plant(loop)
    loop.call_later(0.05, lambda: ran.append(True))
    run_until(loop, lambda: ran)


def test_defect_in_an_owner_ends_its_connection_alone(loop: IoLoop) -> None:
    bad, good = Recorder(fail=True), Recorder()
    _, bad_far = pair(loop, bad)
    _, good_far = pair(loop, good)
    bad_far.sendall(b"x")
    good_far.sendall(b"y")
    run_until(loop, lambda: bad.reasons and good.data)
    assert (bad.reasons, good.data) == (["handler failed"], b"y")


def test_action_of_another_thread_ends_the_wait(loop: IoLoop) -> None:
    ran: list[float] = []
    began_s = time.monotonic()
    timer = threading.Timer(0.05, lambda: loop.post(lambda: ran.append(now_s())))
    timer.start()
    loop.run_once()
    assert ran
    assert time.monotonic() - began_s < 0.5


def test_peer_that_does_not_read_is_given_up_and_costs_nobody_else(
    loop: IoLoop,
) -> None:
    slow, other = Recorder(), Recorder()
    connection, _far = pair(loop, slow)
    _, other_far = pair(loop, other)
    piece = b"x" * 65_536
    for _ in range(4 * MAX_WRITE_BUFFER_BYTES // len(piece)):
        connection.write(piece)
    other_far.sendall(b"y")
    run_until(loop, lambda: other.data)
    assert slow.reasons == ["the other end does not read"]


def test_finish_sends_what_waits_and_closes(loop: IoLoop) -> None:
    owner = Recorder()
    connection, far = pair(loop, owner)
    size = 3 * 1024 * 1024
    connection.write(b"x" * size)
    connection.close_after_flush()
    got = bytearray()

    def read() -> None:
        while piece := far.recv(1 << 20):
            got.extend(piece)
        far.close()

    reader = threading.Thread(target=read)
    reader.start()
    run_until(loop, lambda: connection.closed)
    reader.join(5)
    assert len(got) == size


@pytest.mark.parametrize(
    ("address", "reason"),
    [("127.0.0.1:1", "refused"), ("127.0.0.1:none", "invalid"), ("::bad:1", "")],
)
def test_dial_tells_why_it_failed(loop: IoLoop, address: str, reason: str) -> None:
    told: list[tuple[socket.socket | None, str]] = []
    dial(loop, address, 1.0, lambda *outcome: told.append(outcome))
    assert told == []
    run_until(loop, lambda: told)
    assert told[0][0] is None
    assert reason in told[0][1].lower()


def test_dial_gives_up_in_time(loop: IoLoop) -> None:
    # A full backlog drops the opening packet, as a machine without power does.
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = []
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    told: list[str] = []
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    dial(loop, address, 0.1, lambda _socket, reason: told.append(reason))
    run_until(loop, lambda: told)
    assert told == ["no answer in time"]
    for filler in fillers:
        filler.close()
    listener.close()


def test_address_in_use_is_an_error_of_its_own(loop: IoLoop) -> None:
    first = Acceptor(loop, "127.0.0.1:0", lambda connection: connection.close())
    with pytest.raises(AddressError, match="cannot listen"):
        Acceptor(loop, f"127.0.0.1:{first.port}", lambda _: None)
    first.stop()


def test_clock_counts_the_time_of_a_suspended_machine() -> None:
    # CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC by all suspensions.
    boot_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
    assert 0 <= now_ms() - boot_ms < 1_000
