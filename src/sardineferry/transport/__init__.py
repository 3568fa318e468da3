"""Long-lived TCP connections that carry batches of messages."""

from __future__ import annotations

from sardineferry.transport.dialer import Dialer
from sardineferry.transport.dialer import Redial
from sardineferry.transport.dialer_pool import DialerPool
from sardineferry.transport.listener import Listener
from sardineferry.transport.outbox import Outbox

__all__ = ["Dialer", "DialerPool", "Listener", "Outbox", "Redial"]
