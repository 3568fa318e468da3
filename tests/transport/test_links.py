"""Tests of links between a listener and a dialer over loopback."""

from __future__ import annotations

import contextlib
import random
import socket
from typing import TYPE_CHECKING

import pytest

from sardineferry.decision.events import LinkDown
from sardineferry.decision.events import LinkUp
from sardineferry.mailbox import Mailbox
from sardineferry.messages import TargetShape
from sardineferry.messages import wire
from sardineferry.transport import Dialer
from sardineferry.transport import Listener
from sardineferry.transport import Outbox
from sardineferry.transport.registry import LinkRegistry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardineferry.messages import WireMessage

WAIT_S = 10.0
ANNOUNCE = wire.Announce("agent-0", "i", "dc", TargetShape("minion", slots=1), 0)


class End:
    """One end of a link: its mailbox and registry."""

    def __init__(self) -> None:
        self.mailbox = Mailbox()
        self.links = LinkRegistry()

    def take(self) -> tuple[object, str]:
        taken = self.mailbox.take(WAIT_S)
        assert taken is not None
        return taken


@pytest.fixture
def near() -> End:
    return End()


@pytest.fixture
def far() -> End:
    return End()


@pytest.fixture
def listener(far: End) -> Iterator[Listener]:
    listener = Listener("127.0.0.1:0", far.mailbox, far.links)
    listener.start()
    yield listener
    far.links.close_all()
    listener.stop()


@pytest.fixture
def dialer(near: End, listener: Listener) -> Iterator[Dialer]:
    address = f"127.0.0.1:{listener.port}"
    dialer = Dialer(address, near.mailbox, near.links, random.Random(1))
    dialer.start()
    yield dialer
    dialer.stop()
    near.links.close_all()
    dialer.join()


def test_link_carries_messages_both_ways_in_order(
    near: End, far: End, dialer: Dialer
) -> None:
    assert near.take() == (LinkUp(dialer.address), "")
    beats: list[WireMessage] = [wire.Heartbeat(number, 0) for number in range(50)]
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
    assert far.mailbox.take(0.0) is None


def test_newer_link_of_a_name_replaces_the_older() -> None:
    links = LinkRegistry()
    older, newer = Outbox(), Outbox()
    links.open("agent-0", older)
    links.open("agent-0", newer)
    assert list(older.drain()) == []
    assert not links.close("agent-0", older)
    assert links.is_current("agent-0", newer)


def test_peer_that_does_not_read_does_not_hold_the_link(near: End) -> None:
    # Accepts by its backlog alone and reads nothing, as a frozen process does.
    frozen = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{frozen.getsockname()[1]}"
    dialer = Dialer(address, near.mailbox, near.links, random.Random(1))
    dialer.start()
    assert near.take() == (LinkUp(address), "")
    beats: list[WireMessage] = [wire.Heartbeat(number, 0) for number in range(256)]
    while near.links.outboxes[address].waiting.qsize() < 1_000:
        near.links.send(address, beats)
    near.links.abort(address)
    assert near.take() == (LinkDown(address), "")
    assert near.take() == (LinkUp(address), "")
    dialer.stop()
    near.links.abort(address)
    dialer.join()
    frozen.close()


@pytest.mark.parametrize(
    "garbage",
    [b"\xff\xff\xff\xff", b"\0\0\0\5abc", b"\0\0\0\3abc", b"\0\0\0\0", b""],
)
def test_bytes_that_are_no_frames_end_the_link(
    far: End, listener: Listener, garbage: bytes
) -> None:
    with socket.create_connection(("127.0.0.1", listener.port), WAIT_S) as client:
        client.sendall(garbage)
        client.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionResetError):
            assert client.recv(1) == b""
    assert far.mailbox.take(0.0) is None
