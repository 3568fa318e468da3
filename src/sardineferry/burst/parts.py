"""The parts that processes for burst jobs are built of."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from sardineferry.burst.settings_watch import SettingsWatch
from sardineferry.burst.worker_calls import WorkerCalls
from sardineferry.decision.burst import BurstAgentCore
from sardineferry.decision.burst import BurstEntryCore
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.exposition import Exposition
from sardineferry.http_server import HttpServer
from sardineferry.logs import LineWriter
from sardineferry.mailbox import Mailbox
from sardineferry.transport import DialerPool
from sardineferry.transport import Listener
from sardineferry.transport.registry import LinkRegistry
from sardineferry.waiting import WaitingRequests

if TYPE_CHECKING:
    from sardineferry.messages.burst import Resources

__all__ = ["AgentParts", "EntryParts", "RoomKeeper", "Startable"]


class Startable(Protocol):
    """A thread of its own."""

    def start(self) -> None:
        """Start the thread."""


class EntryParts(NamedTuple):
    """What an entry is built of."""

    core: BurstEntryCore
    mailbox: Mailbox
    links: LinkRegistry
    listener: Listener
    waiting: WaitingRequests[BurstReply]
    callers: HttpServer
    readiness: HttpServer
    watches: tuple[Startable, ...]
    exposition: Exposition
    log: LineWriter
    settings_watch: SettingsWatch


class RoomKeeper(Protocol):
    """Keeps the worker's room for processes to come."""

    def start(self) -> None:
        """Start the thread."""

    def remember(self, total: Resources) -> None:
        """Note the worker's room."""


class AgentParts(NamedTuple):
    """What an agent is built of.

    Holds wait at the worker, so they have a thread of their own.
    """

    core: BurstAgentCore
    mailbox: Mailbox
    links: LinkRegistry
    dialers: DialerPool
    orders: WorkerCalls
    holds: WorkerCalls
    reports: HttpServer
    rooms: RoomKeeper
    watches: tuple[Startable, ...]
    exposition: Exposition
    log: LineWriter
    settings_watch: SettingsWatch
