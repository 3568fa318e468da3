"""Tests of links between a listener and a dialer over loopback."""

from __future__ import annotations

import random
import socket

import pytest

from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.messages import wire
from sardineferry.messages.target import TargetShape
from sardineferry.transport import Dialer
from sardineferry.transport import LinkListener
from sardineferry.transport import LinkRegistry
from sardineferry.transport import Redial
from tests.loops import run_for
from tests.loops import run_until

ANNOUNCE = wire.Announce("agent-0", "i", "dc", TargetShape("minion", slots=1), 0)


class End:
    """One end of a link: its mailbox and registry, on the common loop."""

    def __init__(self, loop: IoLoop) -> None:
        self.loop = loop
        self.mailbox = Mailbox()
        self.links = LinkRegistry()

    def take(self) -> tuple[object, str]:
        run_until(self.loop, lambda: self.mailbox.events)
        taken = self.mailbox.take()
        assert taken is not None
        return taken


@pytest.fixture
def loop() -> IoLoop:
    return IoLoop()


@pytest.fixture
def near(loop: IoLoop) -> End:
    return End(loop)


@pytest.fixture
def far(loop: IoLoop) -> End:
    return End(loop)


@pytest.fixture
def listener(loop: IoLoop, far: End) -> LinkListener:
    listener = LinkListener(loop, "127.0.0.1:0", wire.CODEC, far.mailbox, far.links)
    listener.start()
    return listener


def dialer_to(address: str, near: End, redial: Redial | None = None) -> Dialer:
    dialer = Dialer(
        near.loop,
        address,
        wire.CODEC,
        near.mailbox,
        near.links,
        random.Random(1),
        redial or Redial(),
    )
    dialer.start()
    return dialer


@pytest.fixture
def dialer(near: End, listener: LinkListener) -> Dialer:
    return dialer_to(f"127.0.0.1:{listener.port}", near)


def test_link_carries_messages_both_ways_in_order(
    near: End, far: End, dialer: Dialer
) -> None:
    assert near.take() == (LinkUp(dialer.address), "")
    beats: list[object] = [wire.Heartbeat(number, 0) for number in range(50)]
    near.links.send(dialer.address, [ANNOUNCE])
    assert far.take() == (ANNOUNCE, "agent-0")
    near.links.send(dialer.address, beats)
    assert [far.take()[0] for _ in beats] == beats
    far.links.send("agent-0", [wire.LeaseEcho(7)])
    assert near.take() == (wire.LeaseEcho(7), dialer.address)


def test_closed_link_is_reported_and_dialled_again(
    near: End, far: End, dialer: Dialer
) -> None:
    near.take()
    near.links.send(dialer.address, [ANNOUNCE])
    far.take()
    far.links.close_all()
    assert far.take() == (LinkDown("agent-0"), "")
    assert near.take() == (LinkDown(dialer.address), "")
    assert near.take() == (LinkUp(dialer.address), "")


def test_link_must_begin_with_a_name(near: End, far: End, dialer: Dialer) -> None:
    near.take()
    near.links.send(dialer.address, [wire.Heartbeat(1, 0)])
    assert near.take() == (LinkDown(dialer.address), "")
    assert far.mailbox.take() is None


def test_newer_link_of_a_name_replaces_the_older(
    near: End, far: End, listener: LinkListener, dialer: Dialer
) -> None:
    near.take()
    near.links.send(dialer.address, [ANNOUNCE])
    far.take()
    older = far.links.links["agent-0"]
    other = End(near.loop)
    second = dialer_to(dialer.address, other)
    other.take()
    other.links.send(second.address, [ANNOUNCE])
    assert far.take() == (ANNOUNCE, "agent-0")
    assert far.links.links["agent-0"] is not older
    assert older.is_closed
    # Only the loss of the newest link of a name is one.
    assert far.mailbox.take() is None


def test_peer_that_does_not_read_does_not_hold_the_link(near: End) -> None:
    # Accepts by its backlog alone and reads nothing, as a frozen process does.
    frozen = socket.create_server(("127.0.0.1", 0))
    dialer = dialer_to(f"127.0.0.1:{frozen.getsockname()[1]}", near)
    assert near.take() == (LinkUp(dialer.address), "")
    beats: list[object] = [wire.Heartbeat(number, 0) for number in range(256)]
    while not near.links.links[dialer.address].connection.write_buffer:
        near.links.send(dialer.address, beats)
    near.links.abort(dialer.address)
    assert near.take() == (LinkDown(dialer.address), "")
    assert near.take() == (LinkUp(dialer.address), "")
    frozen.close()


@pytest.mark.parametrize(
    "garbage",
    [
        b"\xff\xff\xff\xff",
        b"\0\0\0\5abc",
        b"\0\0\0\3abc",
        b"\0\0\0\0",
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_bytes_that_are_no_frames_end_the_link(
    near: End, far: End, listener: LinkListener, dialer: Dialer, garbage: bytes
) -> None:
    near.take()
    near.links.send(dialer.address, [ANNOUNCE])
    far.take()
    client = socket.create_connection(("127.0.0.1", listener.port), 5)
    client.sendall(garbage)
    client.shutdown(socket.SHUT_WR)
    client.setblocking(False)

    def is_closed() -> bool:
        try:
            return client.recv(1) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True

    run_until(near.loop, is_closed)
    assert far.mailbox.take() is None
    # The link beside it goes on.
    near.links.send(dialer.address, [wire.Heartbeat(1, 0)])
    assert far.take() == (wire.Heartbeat(1, 0), "agent-0")


def test_link_without_a_name_is_ended_in_time(
    near: End,
    listener: LinkListener,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("sardineferry.transport.listener.NAME_TIMEOUT_S", 0.05)
    dialer = dialer_to(f"127.0.0.1:{listener.port}", near)
    assert near.take() == (LinkUp(dialer.address), "")
    assert near.take() == (LinkDown(dialer.address), "")


def test_delay_grows_once_the_other_end_is_away_for_long(near: End) -> None:
    redial = Redial(0.5, 10, patient_tries=3, idle_delay_cap_ms=5_000)
    dialer = dialer_to("127.0.0.1:1", near, redial)
    run_until(near.loop, lambda: dialer.failures > 3)
    run_for(near.loop, 0.05)
    assert dialer.failures == 4
    # A sign that the other end is back ends the wait.
    dialer.redial_now()
    run_until(near.loop, lambda: dialer.failures == 1)


def test_stopped_dialer_leaves_no_link(near: End, listener: LinkListener) -> None:
    dialer = dialer_to(f"127.0.0.1:{listener.port}", near)
    dialer.stop()
    run_for(near.loop, 0.1)
    assert near.links.links == {}
