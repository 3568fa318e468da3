"""Tests of the room that agents note on the store, over the stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sardineferry.decision.burst.worker import RoomRemembered
from sardineferry.http_server import HttpServer
from sardineferry.mailbox import Mailbox
from sardineferry.messages.burst import Resources
from sardineferry.platform.memory import ROOMS_TOPIC
from sardineferry.platform.memory import RoomMemory
from sardineferry.platform.store import StoreClient
from sardineferry.platform.store import keyed_record
from sardineferry.standin import LogStandin

if TYPE_CHECKING:
    from collections.abc import Iterator

WAIT_S = 10.0
ROOM = Resources(64_000, 131_072, 0)
WORKER = "10.0.0.9:8080"


@pytest.fixture
def address() -> Iterator[str]:
    server = HttpServer(LogStandin(), "127.0.0.1:0", 4, 1_000_000)
    server.start()
    yield f"127.0.0.1:{server.port}"
    server.stop()


def read_by(name: str, worker: str, address: str) -> Resources | None:
    mailbox = Mailbox()
    RoomMemory(name, worker, address, mailbox).start()
    taken = mailbox.take(WAIT_S)
    assert taken is not None
    assert isinstance(taken[0], RoomRemembered)
    return taken[0].total


@pytest.mark.parametrize(
    ("name", "worker", "found"),
    [
        ("side-1", WORKER, ROOM),
        ("side-2", WORKER, None),
        ("side-1", "10.0.0.10:8080", None),
    ],
)
def test_only_the_same_machine_finds_its_room(
    address: str, name: str, worker: str, found: Resources | None
) -> None:
    RoomMemory("side-1", WORKER, address, Mailbox()).write(ROOM)
    assert read_by(name, worker, address) == found


def test_room_that_cannot_be_read_is_skipped(address: str) -> None:
    record = keyed_record(f"side-1 {WORKER}", b"\xff")
    StoreClient(address).append(ROOMS_TOPIC, [record])
    assert read_by("side-1", WORKER, address) is None
