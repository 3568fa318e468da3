"""Tests of links between a dialer and a listener on the loopback address."""

from __future__ import annotations

import random
import socket
from typing import TYPE_CHECKING

import pytest

from sardineferry.decision.common_events import LinkDown
from sardineferry.decision.common_events import LinkUp
from sardineferry.decision.common_events import SendRejected
from sardineferry.deployment.agent import REDIAL_POLICY
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.messages import wire
from sardineferry.messages.target import TargetShape
from sardineferry.transport import Dialer
from sardineferry.transport import LinkListener
from sardineferry.transport import LinkRegistry
from sardineferry.transport import RedialPolicy
from sardineferry.transport.frames import encode_frame
from sardineferry.transport.listener import MAX_UNNAMED_FRAME_BYTES
from tests.loops import run_for
from tests.loops import run_until

if TYPE_CHECKING:
    from collections.abc import Callable

ANNOUNCE = wire.Announce("agent-0", "i", "dc", TargetShape("minion", slots=1), 0)


class LinkEnd:
    """The mailbox and link registry of one end; both ends share a loop."""

    def __init__(self, loop: IoLoop) -> None:
        self.loop = loop
        self.mailbox = Mailbox()
        self.links = LinkRegistry()

    def next_event(self) -> tuple[object, str]:
        run_until(self.loop, lambda: self.mailbox.events)
        event = self.mailbox.take()
        assert event is not None
        return event


@pytest.fixture
def loop() -> IoLoop:
    return IoLoop()


@pytest.fixture
def near(loop: IoLoop) -> LinkEnd:
    return LinkEnd(loop)


@pytest.fixture
def far(loop: IoLoop) -> LinkEnd:
    return LinkEnd(loop)


@pytest.fixture
def listener(loop: IoLoop, far: LinkEnd) -> LinkListener:
    listener = LinkListener(loop, "127.0.0.1:0", wire.CODEC, far.mailbox, far.links)
    listener.start()
    return listener


def dialer_to(
    address: str, near: LinkEnd, redial_policy: RedialPolicy | None = None
) -> Dialer:
    dialer = Dialer(
        near.loop,
        address,
        wire.CODEC,
        near.mailbox,
        near.links,
        random.Random(1),
        redial_policy or RedialPolicy(),
    )
    dialer.start()
    return dialer


@pytest.fixture
def dialer(near: LinkEnd, listener: LinkListener) -> Dialer:
    return dialer_to(f"127.0.0.1:{listener.port}", near)


def test_link_carries_messages_both_ways_in_order(
    near: LinkEnd, far: LinkEnd, dialer: Dialer
) -> None:
    assert near.next_event() == (LinkUp(dialer.address), "")
    heartbeats: list[object] = [wire.Heartbeat(number, 0) for number in range(50)]
    near.links.send(dialer.address, [ANNOUNCE])
    assert far.next_event() == (ANNOUNCE, "agent-0")
    near.links.send(dialer.address, heartbeats)
    assert [far.next_event()[0] for _ in heartbeats] == heartbeats
    far.links.send("agent-0", [wire.LeaseEcho(7)])
    assert near.next_event() == (wire.LeaseEcho(7), dialer.address)


def test_message_that_cannot_be_encoded_takes_no_other_with_it(
    near: LinkEnd, far: LinkEnd, dialer: Dialer
) -> None:
    near.next_event()
    near.links.send(dialer.address, [ANNOUNCE])
    far.next_event()
    bad = wire.LeaseEcho(2**64)
    near.links.send(dialer.address, [wire.LeaseEcho(1), bad, wire.LeaseEcho(2)])
    assert near.next_event() == (SendRejected(dialer.address, bad), "")
    assert [far.next_event()[0] for _ in range(2)] == [
        wire.LeaseEcho(1),
        wire.LeaseEcho(2),
    ]


def test_closed_link_is_reported_and_redialled(
    near: LinkEnd, far: LinkEnd, dialer: Dialer
) -> None:
    near.next_event()
    near.links.send(dialer.address, [ANNOUNCE])
    far.next_event()
    far.links.close_all()
    assert far.next_event() == (LinkDown("agent-0"), "")
    assert near.next_event() == (LinkDown(dialer.address), "")
    assert near.next_event() == (LinkUp(dialer.address), "")


def test_link_whose_first_message_has_no_name_is_closed(
    near: LinkEnd, far: LinkEnd, dialer: Dialer
) -> None:
    near.next_event()
    near.links.send(dialer.address, [wire.Heartbeat(1, 0)])
    assert near.next_event() == (LinkDown(dialer.address), "")
    assert far.mailbox.take() is None


def test_new_link_replaces_older_link_of_same_name(
    near: LinkEnd, far: LinkEnd, listener: LinkListener, dialer: Dialer
) -> None:
    near.next_event()
    near.links.send(dialer.address, [ANNOUNCE])
    far.next_event()
    older = far.links.links["agent-0"]
    other = LinkEnd(near.loop)
    second = dialer_to(dialer.address, other)
    other.next_event()
    other.links.send(second.address, [ANNOUNCE])
    assert far.next_event() == (ANNOUNCE, "agent-0")
    assert far.links.links["agent-0"] is not older
    assert older.is_closed
    # The loss of a link that has been replaced is not reported.
    assert far.mailbox.take() is None


def test_link_to_unresponsive_peer_can_be_aborted(near: LinkEnd) -> None:
    # Like a process that hangs: the kernel accepts connections into the backlog,
    # but nobody reads from them.
    unresponsive = socket.create_server(("127.0.0.1", 0))
    dialer = dialer_to(f"127.0.0.1:{unresponsive.getsockname()[1]}", near)
    assert near.next_event() == (LinkUp(dialer.address), "")
    heartbeats: list[object] = [wire.Heartbeat(number, 0) for number in range(256)]
    while not near.links.links[dialer.address].connection.write_buffer:
        near.links.send(dialer.address, heartbeats)
    near.links.abort(dialer.address)
    assert near.next_event() == (LinkDown(dialer.address), "")
    assert near.next_event() == (LinkUp(dialer.address), "")
    unresponsive.close()


@pytest.mark.parametrize(
    "invalid",
    [
        b"\xff\xff\xff\xff",
        b"\0\0\0\5abc",
        b"\0\0\0\3abc",
        b"\0\0\0\0",
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_invalid_frames_close_only_their_link(
    near: LinkEnd, far: LinkEnd, listener: LinkListener, dialer: Dialer, invalid: bytes
) -> None:
    near.next_event()
    near.links.send(dialer.address, [ANNOUNCE])
    far.next_event()
    client = socket.create_connection(("127.0.0.1", listener.port), 5)
    client.sendall(invalid)
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
    # The other link still works.
    near.links.send(dialer.address, [wire.Heartbeat(1, 0)])
    assert far.next_event() == (wire.Heartbeat(1, 0), "agent-0")


def test_link_without_a_name_is_closed_after_timeout(
    near: LinkEnd,
    listener: LinkListener,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("sardineferry.transport.listener.NAME_TIMEOUT_S", 0.05)
    dialer = dialer_to(f"127.0.0.1:{listener.port}", near)
    assert near.next_event() == (LinkUp(dialer.address), "")
    assert near.next_event() == (LinkDown(dialer.address), "")


def test_frame_of_an_unnamed_link_is_small(
    near: LinkEnd, far: LinkEnd, listener: LinkListener
) -> None:
    """Guards against strangers that send large incomplete frames."""
    client = socket.create_connection(("127.0.0.1", listener.port), 5)
    client.sendall((MAX_UNNAMED_FRAME_BYTES + 1).to_bytes(4))
    run_until(near.loop, lambda: listener.guard.counters["clients_refused_bad_link"])
    # The limit ends with the first message, also within one read.
    client = socket.create_connection(("127.0.0.1", listener.port), 5)
    large = encode_frame(b"\0" * (MAX_UNNAMED_FRAME_BYTES + 1))
    client.sendall(encode_frame(wire.CODEC.encode([ANNOUNCE])) + large[:100])
    assert far.next_event() == (ANNOUNCE, "agent-0")
    assert "agent-0" in far.links.links
    assert listener.guard.budget.held_bytes == 100


def test_oldest_unnamed_link_makes_room(
    near: LinkEnd, listener: LinkListener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sardineferry.transport.listener.MAX_UNNAMED_LINKS", 2)
    clients = [
        socket.create_connection(("127.0.0.1", listener.port), 5) for _ in range(3)
    ]
    run_until(near.loop, lambda: len(listener.guard.counters))
    assert len(listener.unnamed) == 2
    assert clients[0].recv(1) == b""


def test_redial_delay_cap_rises_after_many_failures(near: LinkEnd) -> None:
    redial_policy = RedialPolicy(
        (0.5,), 10, failures_before_idle=3, idle_delay_cap_ms=5_000
    )
    dialer = dialer_to("127.0.0.1:1", near, redial_policy)
    run_until(near.loop, lambda: dialer.failures > 3)
    run_for(near.loop, 0.05)
    assert dialer.failures == 4
    # redial_now() ends the wait and resets the count of failures.
    dialer.redial_now()
    run_until(near.loop, lambda: dialer.failures == 1)


def test_agent_tries_short_connect_timeouts_before_a_long_one(
    near: LinkEnd, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Replays a start of agents before the instances of their entries have power."""
    timeouts_s: list[float] = []

    def dial(
        loop: IoLoop,
        _address: str,
        timeout_s: float,
        on_done: Callable[[socket.socket | None, str], None],
    ) -> None:
        timeouts_s.append(timeout_s)
        loop.call_soon(lambda: on_done(None, "no answer in time"))

    monkeypatch.setattr("sardineferry.transport.dialer.dial", dial)
    dialer_to("127.0.0.1:1", near, REDIAL_POLICY)
    run_until(near.loop, lambda: len(timeouts_s) >= 8)
    # Short attempts find an entry soon after its return; each fourth one succeeds
    # over a slow link.
    assert timeouts_s[:8] == [0.1, 0.1, 0.2, 0.8] * 2


def test_stopped_dialer_opens_no_link(near: LinkEnd, listener: LinkListener) -> None:
    dialer = dialer_to(f"127.0.0.1:{listener.port}", near)
    dialer.stop()
    run_for(near.loop, 0.1)
    assert near.links.links == {}
