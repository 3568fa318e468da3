"""A single-threaded event loop for every socket and timer of a process.

Built on ``selectors`` instead of ``asyncio``: it takes less than half of the
processor time per message and a fifth of the time to import. For the
measurements see docs/design/io-loop.md.
"""

from __future__ import annotations

from sardineferry.loop.acceptor import LISTEN_BACKLOG
from sardineferry.loop.acceptor import Acceptor
from sardineferry.loop.acceptor import AddressError
from sardineferry.loop.address import split_address
from sardineferry.loop.byte_budget import Account
from sardineferry.loop.client_guard import ClientGuard
from sardineferry.loop.connection import Connection
from sardineferry.loop.connection import ConnectionOwner
from sardineferry.loop.dial import dial
from sardineferry.loop.loop import IoLoop
from sardineferry.loop.loop import PassHook
from sardineferry.loop.loop import Timer
from sardineferry.loop.receive_buffers import MAX_UNREAD_BYTES

__all__ = [
    "LISTEN_BACKLOG",
    "MAX_UNREAD_BYTES",
    "Acceptor",
    "Account",
    "AddressError",
    "ClientGuard",
    "Connection",
    "ConnectionOwner",
    "IoLoop",
    "PassHook",
    "Timer",
    "dial",
    "split_address",
]
