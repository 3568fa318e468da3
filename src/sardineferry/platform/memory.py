"""Keeps the room of a worker on the platform's store, for its next agent."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

import msgspec

from sardineferry.decision.burst.worker import RoomRemembered
from sardineferry.logs import part_logger
from sardineferry.messages.burst import Resources
from sardineferry.platform.retry import until_answered
from sardineferry.platform.store import StoreClient
from sardineferry.platform.store import keyed_record

if TYPE_CHECKING:
    from sardineferry.mailbox import Mailbox

__all__ = ["ROOMS_TOPIC", "RoomMemory"]

ROOMS_TOPIC = "keyed.sardineferry-rooms"

logger = part_logger("store")


class RoomMemory:
    """A thread that reads the room noted for a machine, and notes new room.

    The key holds name and address: an address may pass to another machine.
    """

    def __init__(self, name: str, worker: str, store: str, mailbox: Mailbox) -> None:
        """Name the machine, its worker's address and the store."""
        self.key = f"{name} {worker}"
        self.client = StoreClient(store)
        self.mailbox = mailbox
        self.rooms: queue.SimpleQueue[Resources] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self.run, name="rooms", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def remember(self, total: Resources) -> None:
        """Note the worker's room, once the store takes it."""
        self.rooms.put(total)

    def run(self) -> None:
        """Read once, then note whatever is to be noted."""
        self.mailbox.put(RoomRemembered(self.read()))
        while True:
            self.write(self.rooms.get())

    def read(self) -> Resources | None:
        """Return the noted room, however long the store is away."""
        found = until_answered("Reading rooms", lambda: self.client.newest(ROOMS_TOPIC))
        value = found.values.get(self.key)
        if not value:
            return None
        try:
            return msgspec.msgpack.decode(value, type=Resources)
        except msgspec.DecodeError as error:
            logger.warning("Skipped the room noted for {}: {}.", self.key, error)
            return None

    def write(self, total: Resources) -> None:
        """Append until the store has acknowledged; a repeat changes nothing."""
        record = keyed_record(self.key, msgspec.msgpack.encode(total))
        until_answered(
            "Noting a room", lambda: self.client.append(ROOMS_TOPIC, [record])
        )
