"""Links: long-lived TCP connections that carry batches of messages."""

from __future__ import annotations

from sardineferry.transport.dialer import Dialer
from sardineferry.transport.dialer import RedialPolicy
from sardineferry.transport.dialer_pool import DialerPool
from sardineferry.transport.link import Link
from sardineferry.transport.listener import UNREAD_LINK_BYTES
from sardineferry.transport.listener import LinkListener
from sardineferry.transport.registry import LinkRegistry

__all__ = [
    "UNREAD_LINK_BYTES",
    "Dialer",
    "DialerPool",
    "Link",
    "LinkListener",
    "LinkRegistry",
    "RedialPolicy",
]
